/**
 * Flags of the commands that call an entry's operators' port.
 */
import { dirname, resolve } from 'node:path'

import { profileSchema } from '@dragonflylever/protocol'
import type { ParsedFlags } from '@dragonflylever/runtime/flags'

import type { CommandOutput } from '../command.js'
import { getStringFlag } from '../flagCommand.js'
import { readDocument, readText } from '../readDocument.js'

export const OPERATOR_FLAGS = {
  entry: { type: 'string', help: "operators' port of an entry, http://IP:PORT" },
  'key-file': { type: 'string', help: "file with the operators' key" },
  profile: { type: 'string', help: 'file with both settings (JSON with comments: entry, keyFile)' }
} as const

/** URL of the operators' port of an entry, and the operators' key. */
export interface OperatorTarget {
  readonly url: string
  readonly key: string
}

const URL_PATTERN = /^http:\/\/[^/]+$/

/** Reads the URL and key of the operators' port from the flags and the profile. Prints an error and returns undefined if one is missing or invalid. */
export function readOperatorTarget (flags: ParsedFlags, output: CommandOutput): OperatorTarget | undefined {
  const profile = readProfile(getStringFlag(flags, 'profile'), output)
  if (profile === undefined) return undefined
  const url = (getStringFlag(flags, 'entry') ?? profile.entry)?.replace(/\/$/, '')
  const keyFile = getStringFlag(flags, 'key-file') ?? profile.keyFile
  if (url === undefined || keyFile === undefined) {
    output.err(`${url === undefined ? '--entry http://IP:PORT' : '--key-file FILE'} is missing; give it or a --profile that names it`)
    return undefined
  }
  if (!URL_PATTERN.test(url)) {
    output.err(`--entry: found ${url}, expected http://IP:PORT`)
    return undefined
  }
  const key = readText(keyFile, output)?.trim()
  return key === undefined ? undefined : { url, key }
}

function readProfile (file: string | undefined, output: CommandOutput): { entry?: string, keyFile?: string } | undefined {
  if (file === undefined) return {}
  const profile = readDocument(file, profileSchema, output)?.value
  if (profile?.keyFile === undefined) return profile === undefined ? undefined : { entry: profile.entry }
  return { entry: profile.entry, keyFile: resolve(dirname(file), profile.keyFile) }
}
