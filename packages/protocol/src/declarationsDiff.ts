/**
 * Compares two sets of declarations.
 */

/** Difference at one key. `before` is absent if the key was added, `after` if it was removed. Values are JSON texts. */
export interface DeclarationChange {
  readonly path: string
  readonly before?: string | undefined
  readonly after?: string | undefined
}

/** Lists the differences between two sets of declarations, sorted by key. Arrays are compared as single values. */
export function compareDeclarations (before: unknown, after: unknown): DeclarationChange[] {
  return compareValues(before, after, '')
}

/** Formats a difference as one line: `+` for an added key, `-` for a removed one and `~` for a changed value. */
export function formatChange (change: DeclarationChange): string {
  if (change.before === undefined) return `+ ${change.path}: ${change.after}`
  if (change.after === undefined) return `- ${change.path}: ${change.before}`
  return `~ ${change.path}: ${change.before} -> ${change.after}`
}

function compareValues (before: unknown, after: unknown, path: string): DeclarationChange[] {
  if (isRecord(before) && isRecord(after)) {
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
    return keys.flatMap(key => compareValues(before[key], after[key], path === '' ? key : `${path}.${key}`))
  }
  const [beforeText, afterText] = [formatValue(before), formatValue(after)]
  return beforeText === afterText ? [] : [{ path: path === '' ? '(document)' : path, before: beforeText, after: afterText }]
}

function formatValue (value: unknown): string | undefined {
  return value === undefined ? undefined : JSON.stringify(value)
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
