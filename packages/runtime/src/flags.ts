/**
 * Parses command-line flags with `util.parseArgs`. The error for an unknown flag suggests the most similar known one.
 */
import { parseArgs } from 'node:util'

/** A flag, written `--name VALUE` if it is a string and `--name` if it is a boolean. */
export interface FlagSpec {
  readonly type: 'string' | 'boolean'
  readonly help: string
  readonly multiple?: boolean
}

export type FlagSpecs = Readonly<Record<string, FlagSpec>>

export interface ParsedFlags {
  readonly values: Readonly<Record<string, string | boolean | string[] | undefined>>
  readonly positionals: readonly string[]
}

export type FlagsResult =
  | { readonly kind: 'parsed', readonly flags: ParsedFlags }
  | { readonly kind: 'refused', readonly message: string }

const MAX_EDIT_DISTANCE = 4

/** Parses arguments. Never throws: invalid arguments give a `refused` result. */
export function parseFlags (args: readonly string[], specs: FlagSpecs): FlagsResult {
  const unknown = findUnknownFlag(args, specs)
  if (unknown !== undefined) return { kind: 'refused', message: describeUnknownFlag(unknown, Object.keys(specs)) }
  try {
    const options = Object.fromEntries(Object.entries(specs).map(([name, spec]) => [name, { type: spec.type, multiple: spec.multiple ?? false }]))
    const parsed = parseArgs({ args: [...args], options, allowPositionals: true, strict: true })
    return { kind: 'parsed', flags: { values: parsed.values as ParsedFlags['values'], positionals: parsed.positionals } }
  } catch (error) {
    return { kind: 'refused', message: (error as Error).message.split('\n')[0] ?? 'invalid arguments' }
  }
}

/** Formats the flags for a help page. */
export function formatFlags (specs: FlagSpecs): string {
  const rows = Object.entries(specs).map(([name, spec]) => [spec.type === 'string' ? `--${name} VALUE` : `--${name}`, spec.help] as const)
  const width = Math.max(...rows.map(([usage]) => usage.length))
  return rows.map(([usage, help]) => `  ${usage.padEnd(width)}  ${help}`).join('\n')
}

/** Returns the candidate with the smallest edit distance to `word`, or undefined if none is similar enough. */
export function findNearest (word: string, candidates: readonly string[]): string | undefined {
  const ranked = candidates.map(candidate => ({ candidate, distance: computeEditDistance(word, candidate) }))
  ranked.sort((a, b) => a.distance - b.distance)
  const best = ranked[0]
  return best !== undefined && best.distance <= MAX_EDIT_DISTANCE ? best.candidate : undefined
}

function findUnknownFlag (args: readonly string[], specs: FlagSpecs): string | undefined {
  const end = args.indexOf('--')
  const flags = (end < 0 ? args : args.slice(0, end)).filter(arg => arg.startsWith('--'))
  return flags.map(flag => flag.slice(2).split('=')[0] ?? '').find(name => !(name in specs))
}

function describeUnknownFlag (name: string, known: readonly string[]): string {
  const nearest = findNearest(name, known)
  const hint = nearest === undefined ? 'see --help' : `did you mean --${nearest}?`
  return `unknown flag --${name}; ${hint}`
}

function computeEditDistance (a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, index) => index)
  for (let i = 1; i <= a.length; i++) {
    const next = [i]
    for (let j = 1; j <= b.length; j++) {
      const cost = a[i - 1] === b[j - 1] ? 0 : 1
      next.push(Math.min((next[j - 1] ?? 0) + 1, (row[j] ?? 0) + 1, (row[j - 1] ?? 0) + cost))
    }
    row = next
  }
  return row[b.length] ?? 0
}
