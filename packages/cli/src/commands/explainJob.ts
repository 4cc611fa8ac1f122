/**
 * `dragonflylever explain`: explains why a job is waiting and when it is expected to start, or why requests of a class wait.
 */
import type { JobExplanation } from '@dragonflylever/protocol'

import { ExitCode, createFlagCommand, getStringFlag } from '../flagCommand.js'
import { explainQueue } from '../operators/explainQueue.js'
import { OPERATOR_FLAGS } from '../operators/operatorFlags.js'
import { JOB_FLAGS, createJobClient } from '../jobs/jobFlags.js'
import { formatJob, printCallResult } from '../jobs/printJob.js'

function formatExplanation (value: JobExplanation): string {
  const start = value.expectedStartAt === undefined ? [] : [`expected to start at ${new Date(value.expectedStartAt).toISOString()}`]
  return [formatJob(value.job), ...value.reasons, ...start].join('\n')
}

export const explainJobCommand = createFlagCommand({
  name: 'explain',
  usage: 'explain JOB --url URL --organisation NAME, or explain --class NAME [--organisation NAME] --entry URL --key-file FILE',
  help: 'explain why a job is waiting and when it is expected to start, or why requests of a class wait or are shed',
  flags: { ...JOB_FLAGS, ...OPERATOR_FLAGS, class: { type: 'string', help: 'class of requests to explain, from the queue of the entry given by --entry' } },
  minArguments: 0,
  maxArguments: 1,
  async execute (flags, output) {
    const className = getStringFlag(flags, 'class')
    if (className !== undefined) return explainQueue(className, flags, output)
    if (flags.positionals.length === 0) {
      output.err('explain: expected a job, or a class of requests with --class NAME')
      return ExitCode.badInput
    }
    const client = createJobClient(flags, getStringFlag(flags, 'organisation'), output)
    if (client === undefined) return ExitCode.badInput
    const [jobId = ''] = flags.positionals
    return printCallResult('explain', await client.explain(jobId), flags, output, formatExplanation)
  }
})
