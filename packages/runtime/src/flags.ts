/**
 * Command-line flags by `util.parseArgs`, with unknown flags refused and the nearest known one named.
 */
import { parseArgs } from 'node:util'

/** A flag: `--name VALUE` or, without a value, `--name`. */
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

const MAX_DISTANCE = 4

/** Parses arguments; never throws. */
export function parseFlags (args: readonly string[], specs: FlagSpecs): FlagsResult {
  const unknown = findUnknown(args, specs)
  if (unknown !== undefined) return { kind: 'refused', message: describeUnknown(unknown, Object.keys(specs)) }
  try {
    const options = Object.fromEntries(Object.entries(specs).map(([name, spec]) => [name, { type: spec.type, multiple: spec.multiple ?? false }]))
    const parsed = parseArgs({ args: [...args], options, allowPositionals: true, strict: true })
    return { kind: 'parsed', flags: { values: parsed.values as ParsedFlags['values'], positionals: parsed.positionals } }
  } catch (error) {
    return { kind: 'refused', message: (error as Error).message.split('\n')[0] ?? 'bad arguments' }
  }
}

/** Formats the flags for a help page. */
export function formatFlags (specs: FlagSpecs): string {
  const rows = Object.entries(specs).map(([name, spec]) => [spec.type === 'string' ? `--${name} VALUE` : `--${name}`, spec.help] as const)
  const width = Math.max(...rows.map(([left]) => left.length))
  return rows.map(([left, help]) => `  ${left.padEnd(width)}  ${help}`).join('\n')
}

/** Returns the candidate nearest to `word`, if any is near. */
export function findNearest (word: string, candidates: readonly string[]): string | undefined {
  const ranked = candidates.map(candidate => ({ candidate, distance: computeDistance(word, candidate) }))
  ranked.sort((a, b) => a.distance - b.distance)
  const best = ranked[0]
  return best !== undefined && best.distance <= MAX_DISTANCE ? best.candidate : undefined
}

function findUnknown (args: readonly string[], specs: FlagSpecs): string | undefined {
  const end = args.indexOf('--')
  const flags = (end < 0 ? args : args.slice(0, end)).filter(arg => arg.startsWith('--'))
  return flags.map(flag => flag.slice(2).split('=')[0] ?? '').find(name => !(name in specs))
}

function describeUnknown (name: string, known: readonly string[]): string {
  const nearest = findNearest(name, known)
  const hint = nearest === undefined ? 'see --help' : `did you mean --${nearest}?`
  return `unknown flag --${name}; ${hint}`
}

function computeDistance (a: string, b: string): number {
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
