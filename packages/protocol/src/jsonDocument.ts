/**
 * Parses JSON with comments and validates it against a schema. Each fault has its line, column and key, and the found and expected values.
 */
import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { Node, ParseError } from 'jsonc-parser'
import type { z } from 'zod'

import { listKeysAt, selectSchema } from './schemaKeys.js'

/** One fault of a document: its position, the key and the found and expected values. Line and column are counted from 1. */
export interface Fault {
  readonly line: number
  readonly column: number
  readonly path: string
  readonly found: string
  readonly expected: string
}

export type DocumentResult<T> =
  | { readonly kind: 'valid', readonly value: T }
  | { readonly kind: 'invalid', readonly faults: readonly Fault[] }

const MAX_FOUND_LENGTH = 60

/** Parses a document that is JSON with comments and validates it against a schema. Never throws. */
export function parseDocument<T> (text: string, schema: z.ZodType<T>): DocumentResult<T> {
  const errors: ParseError[] = []
  const root = parseTree(text, errors, { allowTrailingComma: true })
  if (errors.length > 0 || root === undefined) return { kind: 'invalid', faults: describeSyntaxErrors(text, errors) }
  const duplicates = collectDuplicateKeys(text, root, [])
  if (duplicates.length > 0) return { kind: 'invalid', faults: duplicates }
  const result = schema.safeParse(getNodeValue(root))
  if (result.success) return { kind: 'valid', value: result.data }
  return { kind: 'invalid', faults: result.error.issues.flatMap(issue => describeIssue(text, root, schema, issue)) }
}

/** Creates a fault at a path of a document that is valid JSON with comments. */
export function makeFaultAt (text: string, path: readonly PropertyKey[], found: string, expected: string): Fault {
  const root = parseTree(text, [], { allowTrailingComma: true })
  if (root === undefined) return { line: 1, column: 1, path: formatPath(path), found, expected }
  return makeFault(text, root, path, found, expected)
}

/** Formats a fault as one line. */
export function formatFault (file: string, fault: Fault): string {
  const location = `${file}:${fault.line}:${fault.column}`
  return `${location}: ${fault.path}: found ${fault.found}, expected ${fault.expected}`
}

function describeSyntaxErrors (text: string, errors: readonly ParseError[]): Fault[] {
  if (errors.length === 0) {
    return [{ line: 1, column: 1, path: '(document)', found: 'an empty file', expected: 'a JSON object' }]
  }
  return errors.map(error => ({
    ...getPosition(text, error.offset),
    path: '(syntax)',
    found: formatFound(text.slice(error.offset, error.offset + Math.max(1, error.length))).trim() || 'the end of the file',
    expected: `valid JSON with comments (${printParseErrorCode(error.error)})`
  }))
}

function describeIssue (text: string, root: Node, schema: z.core.$ZodType, issue: z.core.$ZodIssue): Fault[] {
  if (issue.code === 'unrecognized_keys') {
    const expected = `one of ${listKeysAt(selectSchema(schema, getNodeValue(root)), issue.path).join(', ')}`
    return issue.keys.map(key => makeFault(text, root, [...issue.path, key], 'an unknown key', expected))
  }
  if (issue.code === 'invalid_key') {
    return [makeFault(text, root, issue.path, 'a bad name', formatExpected(issue.issues[0]?.message ?? issue.message))]
  }
  const node = findNode(root, issue.path)
  const found = node === undefined ? 'nothing' : isSecretPath(issue.path) ? 'a value not shown' : formatFound(text.slice(node.offset, node.offset + node.length))
  return [makeFault(text, root, issue.path, found, formatExpected(issue.message))]
}

/** Returns whether the value at a path is a secret key, which a fault must not show. */
function isSecretPath (path: readonly PropertyKey[]): boolean {
  return path.some(part => /key(s)?$/i.test(String(part)))
}

function makeFault (text: string, root: Node, path: readonly PropertyKey[], found: string, expected: string): Fault {
  const node = findNode(root, path) ?? findNode(root, path.slice(0, -1)) ?? root
  const key = node.parent?.type === 'property' ? node.parent : node
  return { ...getPosition(text, key.offset), path: formatPath(path), found, expected }
}

function findNode (root: Node, path: readonly PropertyKey[]): Node | undefined {
  return findNodeAtLocation(root, path.map(part => typeof part === 'number' ? part : String(part)))
}

function formatPath (path: readonly PropertyKey[]): string {
  return path.length === 0 ? '(document)' : path.map(String).join('.')
}

function formatExpected (message: string): string {
  const plain = message.replace(/^(Invalid input|Too small|Too big): /, '').replace(/, received .*$/, '')
  return plain.replace(/^Invalid discriminator value\. Expected /, 'one of ').replace(/^(Invalid option: )?expected /, '')
}

function formatFound (text: string): string {
  const flat = text.replace(/\s+/g, ' ')
  return flat.length > MAX_FOUND_LENGTH ? `${flat.slice(0, MAX_FOUND_LENGTH)}...` : flat
}

function collectDuplicateKeys (text: string, node: Node, path: string[]): Fault[] {
  const faults: Fault[] = []
  const seen = new Set<string>()
  for (const child of node.children ?? []) {
    const key = node.type === 'object' ? String(child.children?.[0]?.value) : undefined
    if (key !== undefined && seen.has(key)) {
      faults.push({ ...getPosition(text, child.offset), path: formatPath([...path, key]), found: 'the key a second time', expected: 'each key once' })
    }
    if (key !== undefined) seen.add(key)
    faults.push(...collectDuplicateKeys(text, child, key === undefined ? path : [...path, key]))
  }
  return faults
}

function getPosition (text: string, offset: number): { line: number, column: number } {
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 }
}
