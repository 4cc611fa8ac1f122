/**
 * Load and experiment tool: `npm run bench -- NAME [--json] [--seed N] [--quick]`.
 */
import { findNearest, formatFlags, parseFlags } from '@dragonflylever/runtime'

import { BENCHES } from './benches.js'

const ExitCode = { ok: 0, failed: 1, badInput: 2 } as const
const DEFAULT_SEED = 20261204

const FLAGS = {
  json: { type: 'boolean', help: 'print the result as JSON' },
  seed: { type: 'string', help: `seed of the random number generators (default ${DEFAULT_SEED})` },
  quick: { type: 'boolean', help: 'shorten the run; its figures are only trials' },
  help: { type: 'boolean', help: 'print this help' }
} as const

function formatHelp (): string {
  return `bench: experiments\n\nUsage: npm run bench -- NAME [FLAGS]\n\nNames: ${Object.keys(BENCHES).join(', ')}\n\n${formatFlags(FLAGS)}`
}

function formatResult (value: unknown, indent = ''): string {
  if (typeof value !== 'object' || value === null) return `${indent}${String(value)}`
  return Object.entries(value).map(([key, item]) => {
    const isNested = typeof item === 'object' && item !== null
    return isNested ? `${indent}${key}:\n${formatResult(item, `${indent}  `)}` : `${indent}${key}: ${String(item)}`
  }).join('\n')
}

async function runTool (args: readonly string[]): Promise<number> {
  const parsed = parseFlags(args, FLAGS)
  if (parsed.kind === 'refused') {
    console.error(parsed.message)
    return ExitCode.badInput
  }
  const { values, positionals } = parsed.flags
  if (values.help === true || positionals.length !== 1) {
    console.log(formatHelp())
    return values.help === true ? ExitCode.ok : ExitCode.badInput
  }
  const [name = ''] = positionals
  const load = BENCHES[name]
  const seed = Number(values.seed ?? DEFAULT_SEED)
  if (load === undefined || !Number.isInteger(seed)) {
    console.error(load === undefined ? `unknown experiment ${name}; did you mean ${findNearest(name, Object.keys(BENCHES)) ?? 'one of the names that --help lists'}?` : '--seed must be an integer')
    return ExitCode.badInput
  }
  const bench = await load()
  const result = await bench.run({ seed, isQuick: values.quick === true, printProgress: line => console.error(line) })
  const full = { bench: name, seed, isQuick: values.quick === true, ...result }
  console.log(values.json === true ? JSON.stringify(full, null, 2) : formatResult(full))
  return ExitCode.ok
}

process.exitCode = await runTool(process.argv.slice(2))
