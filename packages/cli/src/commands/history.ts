/**
 * `dragonflylever history`: lists the accepted revisions or prints the declarations of one of them.
 */
import type { ConfigurationAnswer, HistoryEntry } from '@dragonflylever/protocol'

import { ExitCode, createFlagCommand, getStringFlag } from '../flagCommand.js'
import { callEntry } from '../operators/callEntry.js'
import { OPERATOR_FLAGS } from '../operators/operatorFlags.js'

const FLAGS = {
  revision: { type: 'string', help: 'print the declarations of this revision' },
  json: { type: 'boolean', help: 'print JSON' },
  ...OPERATOR_FLAGS
} as const

export const historyCommand = createFlagCommand({
  name: 'history',
  usage: 'history [--revision REVISION] [--json]',
  help: 'list the accepted revisions, newest first',
  flags: FLAGS,
  minArguments: 0,
  maxArguments: 0,
  async execute (flags, output) {
    const revision = getStringFlag(flags, 'revision')
    const result = await callEntry<ConfigurationAnswer | { entries: HistoryEntry[] }>('history', flags, output, client => revision === undefined ? client.readHistory() : client.readRevision(revision))
    if (result.kind === 'ended') return result.exitCode
    if (!('entries' in result.value)) output.out(JSON.stringify(result.value.declarations, null, 2))
    else if (flags.values.json === true) output.out(JSON.stringify(result.value.entries, null, 2))
    else for (const entry of result.value.entries) output.out(`${entry.revision}  ${new Date(entry.acceptedAt).toISOString()}  ${entry.acceptedBy}`)
    return ExitCode.ok
  }
})
