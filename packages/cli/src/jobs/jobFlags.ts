/**
 * Flags of the commands that call the job API of an entry.
 */
import type { ParsedFlags } from '@dragonflylever/runtime/flags'

import type { CommandOutput } from '../command.js'
import { getStringFlag } from '../flagCommand.js'
import { readText } from '../readDocument.js'
import { JobClient } from './jobClient.js'

export const JOB_FLAGS = {
  url: { type: 'string', help: "callers' port of an entry, http://IP:PORT" },
  organisation: { type: 'string', help: 'organisation to act for' },
  'key-file': { type: 'string', help: "file that holds the organisation's key, where the deployment gives keys" },
  json: { type: 'boolean', help: 'print JSON' }
} as const

const URL_PATTERN = /^http:\/\/[^/]+$/

/** Creates a client for the job API from the flags. Prints an error and returns undefined if a flag is missing or invalid. */
export function createJobClient (flags: ParsedFlags, organisation: string | undefined, output: CommandOutput): JobClient | undefined {
  const url = getStringFlag(flags, 'url')?.replace(/\/$/, '')
  if (url === undefined || !URL_PATTERN.test(url)) {
    output.err(`--url: found ${url ?? 'nothing'}, expected the callers' port of an entry, http://IP:PORT`)
    return undefined
  }
  if (organisation === undefined) {
    output.err('--organisation NAME is missing')
    return undefined
  }
  const keyFile = getStringFlag(flags, 'key-file')
  const key = keyFile === undefined ? undefined : readText(keyFile, output)?.trim()
  if (keyFile !== undefined && key === undefined) return undefined
  return new JobClient({ url, organisation, key })
}
