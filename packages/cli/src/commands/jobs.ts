/**
 * `dragonflylever jobs`: lists an organisation's jobs, newest first.
 */
import { ExitCode, createFlagCommand, getStringFlag } from '../flagCommand.js'
import { JOB_FLAGS, createJobClient } from '../jobs/jobFlags.js'
import { formatJob, printCallResult } from '../jobs/printJob.js'

export const jobsCommand = createFlagCommand({
  name: 'jobs',
  usage: 'jobs --url URL --organisation NAME',
  help: "list an organisation's jobs, newest first",
  flags: JOB_FLAGS,
  minArguments: 0,
  maxArguments: 0,
  async execute (flags, output) {
    const client = createJobClient(flags, getStringFlag(flags, 'organisation'), output)
    if (client === undefined) return ExitCode.badInput
    return printCallResult('jobs', await client.list(), flags, output, value => value.jobs.length === 0 ? 'no jobs' : value.jobs.map(formatJob).join('\n'))
  }
})
