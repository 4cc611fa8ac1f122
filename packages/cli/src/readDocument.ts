/**
 * Reads files that commands get as arguments, and prints one line for each fault in them.
 */
import { readFileSync } from 'node:fs'

import { formatFault, parseDocument } from '@dragonflylever/protocol'

import type { CommandOutput } from './command.js'

/** Schema that a document is validated against. */
type DocumentSchema<T> = Parameters<typeof parseDocument<T>>[1]

/** Reads a file as text. Prints an error and returns undefined if the file can't be read. */
export function readText (file: string, output: CommandOutput): string | undefined {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    output.err(`${file}: can't be read (${(error as NodeJS.ErrnoException).code ?? 'unknown error'}); check the path and its permissions`)
    return undefined
  }
}

/** Reads and validates a document. Prints one line per fault and returns undefined if the document is invalid. */
export function readDocument<T> (file: string, schema: DocumentSchema<T>, output: CommandOutput): { text: string, value: T } | undefined {
  const text = readText(file, output)
  if (text === undefined) return undefined
  const result = parseDocument(text, schema)
  if (result.kind === 'valid') return { text, value: result.value }
  for (const fault of result.faults) output.err(formatFault(file, fault))
  return undefined
}
