/**
 * `dragonflylever diff`: lists the differences between two documents, or between a document and the revision in force.
 */
import { acceptableDeclarationsSchema, compareDeclarations, formatChange } from '@dragonflylever/protocol'
import type { ParsedFlags } from '@dragonflylever/runtime/flags'

import type { CommandOutput } from '../command.js'
import { ExitCode, createFlagCommand } from '../flagCommand.js'
import { callEntry } from '../operators/callEntry.js'
import { OPERATOR_FLAGS } from '../operators/operatorFlags.js'
import { readDocument } from '../readDocument.js'

/** Declarations that a document is compared with, and their file name or revision for the output. */
interface ComparedDocument {
  readonly label: string
  readonly declarations: unknown
}

export const diffCommand = createFlagCommand({
  name: 'diff',
  usage: 'diff [OLD] FILE',
  help: 'list the changes from OLD, or from the revision in force, to FILE',
  flags: OPERATOR_FLAGS,
  minArguments: 1,
  maxArguments: 2,
  async execute (flags, output) {
    const [first = '', second] = flags.positionals
    const after = readDocument(second ?? first, acceptableDeclarationsSchema, output)
    if (after === undefined) return ExitCode.badInput
    const before = second === undefined ? await readCurrentRevision(flags, output) : readFileToCompare(first, output)
    if (typeof before === 'number') return before
    const changes = compareDeclarations(before.declarations, after.value)
    for (const change of changes) output.out(formatChange(change))
    output.out(`${changes.length} changes against ${before.label}`)
    return ExitCode.ok
  }
})

function readFileToCompare (file: string, output: CommandOutput): ComparedDocument | number {
  const document = readDocument(file, acceptableDeclarationsSchema, output)
  return document === undefined ? ExitCode.badInput : { label: file, declarations: document.value }
}

async function readCurrentRevision (flags: ParsedFlags, output: CommandOutput): Promise<ComparedDocument | number> {
  const result = await callEntry('diff', flags, output, client => client.readConfiguration())
  if (result.kind === 'ended') return result.exitCode
  return { label: `revision ${result.value.revision}`, declarations: result.value.declarations ?? {} }
}
