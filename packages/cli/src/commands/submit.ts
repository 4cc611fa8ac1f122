/**
 * `dragonflylever submit FILE`: submits a job. An accepted job is stored durably.
 */
import { jobRequestSchema } from '@dragonflylever/protocol'

import { ExitCode, createFlagCommand } from '../flagCommand.js'
import { JOB_FLAGS, createJobClient } from '../jobs/jobFlags.js'
import { formatJob, printCallResult } from '../jobs/printJob.js'
import { readDocument } from '../readDocument.js'

export const submitCommand = createFlagCommand({
  name: 'submit',
  usage: 'submit FILE --url URL',
  help: 'submit a job; submitting again with the same key returns the same job',
  flags: JOB_FLAGS,
  minArguments: 1,
  maxArguments: 1,
  async execute (flags, output) {
    const [file = ''] = flags.positionals
    const document = readDocument(file, jobRequestSchema, output)
    const client = document === undefined ? undefined : createJobClient(flags, document.value.organisation, output)
    if (document === undefined || client === undefined) return ExitCode.badInput
    return printCallResult('submit', await client.submit(document.text), flags, output, formatJob)
  }
})
