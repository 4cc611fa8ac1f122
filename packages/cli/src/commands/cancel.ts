/**
 * `dragonflylever cancel JOB`: requests the cancellation of a job.
 */
import { ExitCode, createFlagCommand, getStringFlag } from '../flagCommand.js'
import { JOB_FLAGS, createJobClient } from '../jobs/jobFlags.js'
import { formatJob, printCallResult } from '../jobs/printJob.js'

export const cancelCommand = createFlagCommand({
  name: 'cancel',
  usage: 'cancel JOB --url URL --organisation NAME',
  help: 'cancel a job; repeating the command has no further effect',
  flags: JOB_FLAGS,
  minArguments: 1,
  maxArguments: 1,
  async execute (flags, output) {
    const client = createJobClient(flags, getStringFlag(flags, 'organisation'), output)
    if (client === undefined) return ExitCode.badInput
    const [jobId = ''] = flags.positionals
    return printCallResult('cancel', await client.cancel(jobId), flags, output, formatJob)
  }
})
