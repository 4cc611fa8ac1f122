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

/** Creates the log of a process. */
export function createLogger (options: LoggerOptions): Logger {
  const settings = { level: options.level, base: { process: options.processId } }
  return options.destination === undefined ? pino(settings) : pino(settings, options.destination)
}

/** Creates the log of one part, with its prefix. */
export function createPartLogger (logger: Logger, part: string): Logger {
  return logger.child({ part }, { msgPrefix: `${part}: ` })
}
