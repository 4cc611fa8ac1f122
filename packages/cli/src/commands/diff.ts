/**
 * `dragonflylever diff`: what differs between two documents, or between a document and what is in force.
 */
import { acceptableDeclarationsSchema, compareDeclarations, formatChange } from '@dragonflylever/protocol'
import type { ParsedFlags } from '@dragonflylever/runtime/flags'

import type { CommandOutput } from '../command.js'
import { ExitCode, createFlagCommand } from '../flagCommand.js'
import { callEntry } from '../operators/callEntry.js'
import { OPERATOR_FLAGS } from '../operators/operatorFlags.js'
import { readDocument } from '../readDocument.js'

/** What a document is compared with. */
interface Side {
  readonly label: string
  readonly declarations: unknown
}

export const diffCommand = createFlagCommand({
  name: 'diff',
  usage: 'diff [OLD] FILE',
  help: 'list what FILE changes against OLD, or against what is in force',
  flags: OPERATOR_FLAGS,
  minArguments: 1,
  maxArguments: 2,
  async execute (flags, output) {
    const [first = '', second] = flags.positionals
    const after = readDocument(second ?? first, acceptableDeclarationsSchema, output)
    if (after === undefined) return ExitCode.badInput
    const before = second === undefined ? await readInForce(flags, output) : readSide(first, output)
    if (typeof before === 'number') return before
    const changes = compareDeclarations(before.declarations, after.value)
    for (const change of changes) output.out(formatChange(change))
    output.out(`${changes.length} changes against ${before.label}`)
    return ExitCode.ok
  }
})

function readSide (file: string, output: CommandOutput): Side | number {
  const document = readDocument(file, acceptableDeclarationsSchema, output)
  return document === undefined ? ExitCode.badInput : { label: file, declarations: document.value }
}

async function readInForce (flags: ParsedFlags, output: CommandOutput): Promise<Side | number> {
  const result = await callEntry('diff', flags, output, client => client.readConfiguration())
  if (result.kind === 'ended') return result.exitCode
  return { label: `revision ${result.value.revision}`, declarations: result.value.declarations ?? {} }
}
