/**
 * Structured logs: one JSON object a line, short sentences, a fixed prefix for each part.
 */
import { pino } from 'pino'

export type Logger = pino.Logger

/** What a log says of its process. */
export interface LoggerOptions {
  readonly level: string
  readonly processId: string
  /** Where the lines go; standard output when absent. */
  readonly destination?: pino.DestinationStream
}

/** Lines that wait for a slow reader; beyond them lines are dropped, so that writing never blocks. */
const MAX_WAITING_BYTES = 1024 * 1024

/** Opens standard output for a log that never blocks its process; `flushSync` writes what waits, at the end of the process. */
export function openLogOutput (): LogOutput {
  return pino.destination({ dest: 1, sync: false, maxLength: MAX_WAITING_BYTES })
}

/** Where a log goes, and what waits to be written. */
export type LogOutput = pino.DestinationStream & { flushSync (): void }

/** Creates the log of a process. */
export function createLogger (options: LoggerOptions): Logger {
  const settings = { level: options.level, base: { process: options.processId } }
  return options.destination === undefined ? pino(settings) : pino(settings, options.destination)
}

/** Creates the log of one part, with its prefix. */
export function createPartLogger (logger: Logger, part: string): Logger {
  return logger.child({ part }, { msgPrefix: `${part}: ` })
}
