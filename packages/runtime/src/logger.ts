/**
 * Structured logs: one JSON object per line, with a fixed message prefix for each part of the process.
 */
import { pino } from 'pino'

export type Logger = pino.Logger

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  readonly level: string
  readonly processId: string
  /** Destination of the log lines; standard output if absent. */
  readonly destination?: pino.DestinationStream
}

/** Size of the buffer for a slow reader. When it is full, lines are dropped, so that writing never blocks. */
const MAX_BUFFERED_BYTES = 1024 * 1024

/** Opens standard output for a log that never blocks its process. Call `flushSync` before the process ends to write buffered lines. */
export function openLogOutput (): LogOutput {
  return pino.destination({ dest: 1, sync: false, maxLength: MAX_BUFFERED_BYTES })
}

/** Destination of a log; `flushSync` writes the buffered lines. */
export type LogOutput = pino.DestinationStream & { flushSync (): void }

/** Creates the logger of a process. */
export function createLogger (options: LoggerOptions): Logger {
  const settings = { level: options.level, base: { process: options.processId } }
  return options.destination === undefined ? pino(settings) : pino(settings, options.destination)
}

/** Creates the logger of one part of a process; its messages start with the name of the part. */
export function createPartLogger (logger: Logger, part: string): Logger {
  return logger.child({ part }, { msgPrefix: `${part}: ` })
}
