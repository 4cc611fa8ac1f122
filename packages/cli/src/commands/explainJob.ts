/**
 * `dragonflylever explain JOB`: why a job waits, and when it is expected to start.
 */
import type { JobExplanation } from '@dragonflylever/protocol'

import { ExitCode, createFlagCommand, getText } from '../flagCommand.js'
import { JOB_FLAGS, createJobClient } from '../jobs/jobFlags.js'
import { formatJob, printCall } from '../jobs/printJob.js'

function formatExplanation (value: JobExplanation): string {
  const start = value.expectedStartAt === undefined ? [] : [`expected to start at ${new Date(value.expectedStartAt).toISOString()}`]
  return [formatJob(value.job), ...value.reasons, ...start].join('\n')
}

export const explainJobCommand = createFlagCommand({
  name: 'explain',
  usage: 'explain JOB --url URL --organisation NAME',
  help: 'say why a job waits and when it is expected to start',
  flags: JOB_FLAGS,
  minArguments: 1,
  maxArguments: 1,
  async execute (flags, output) {
    const client = createJobClient(flags, getText(flags, 'organisation'), output)
    if (client === undefined) return ExitCode.badInput
    const [jobId = ''] = flags.positionals
    return printCall('explain', await client.explain(jobId), flags, output, formatExplanation)
  }
})
