/**
 * What differs between two sets of declarations.
 */

/** One difference; `before` or `after` is absent when the key is new or gone. Values are JSON texts. */
export interface DeclarationChange {
  readonly path: string
  readonly before?: string | undefined
  readonly after?: string | undefined
}

/** Lists the differences in the order of the keys; arrays are compared whole. */
export function compareDeclarations (before: unknown, after: unknown): DeclarationChange[] {
  return compareValues(before, after, '')
}

/** Formats a difference as one line. */
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
  const [left, right] = [formatValue(before), formatValue(after)]
  return left === right ? [] : [{ path: path === '' ? '(document)' : path, before: left, after: right }]
}

function formatValue (value: unknown): string | undefined {
  return value === undefined ? undefined : JSON.stringify(value)
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
