/**
 * Prints the results of calls to the job API.
 */
import type { JobView } from '@dragonflylever/protocol'
import type { ParsedFlags } from '@dragonflylever/runtime/flags'

import type { CommandOutput } from '../command.js'
import { ExitCode } from '../flagCommand.js'
import type { JobCallResult } from './jobClient.js'

/** Prints the result of a call to the job API, as JSON or with `format`, or its error. Returns the exit code. */
export function printCallResult<T> (name: string, call: JobCallResult<T>, flags: ParsedFlags, output: CommandOutput, format: (value: T) => string): number {
  if (call.kind === 'ok') {
    output.out(flags.values.json === true ? JSON.stringify(call.value, null, 2) : format(call.value))
    return ExitCode.ok
  }
  output.err(`${name}: ${call.message}`)
  return call.kind === 'refused' ? ExitCode.badInput : ExitCode.failed
}

/** Formats a job as one line with its id, state, class, number of tasks, key, workers and message. */
export function formatJob (job: JobView): string {
  const place = job.workers.length === 0 ? '' : `  on ${job.workers.join(', ')}`
  const message = job.message === '' ? '' : `  (${job.message})`
  return `${job.id}  ${job.state}  ${job.class}  ${job.tasks} tasks  key ${job.key}${place}${message}`
}
