#!/usr/bin/env node
/**
 * Entry point of `dragonflylever`, the command line for operators and callers.
 */
import { VERSION } from '@dragonflylever/daemon/version'
import { findNearest } from '@dragonflylever/runtime/flags'

import { COMMANDS } from './commands.js'

const ExitCode = { ok: 0, failed: 1, badInput: 2 } as const

function formatHelp (): string {
  const width = Math.max(...COMMANDS.map(command => command.usage.length))
  const rows = COMMANDS.map(command => `  ${command.usage.padEnd(width)}  ${command.help}`)
  return `dragonflylever: command line for operators and callers\n\nUsage: dragonflylever COMMAND [FLAGS]\n\n${rows.join('\n')}\n\n  --help     print this page, or a command's with COMMAND --help\n  --version  print the version\n`
}

async function runCommand (args: readonly string[]): Promise<number> {
  const [first, ...rest] = args
  if (first === '--version') {
    process.stdout.write(`${VERSION}\n`)
    return ExitCode.ok
  }
  if (first === undefined || first === '--help') {
    process.stdout.write(formatHelp())
    return first === undefined ? ExitCode.badInput : ExitCode.ok
  }
  const command = COMMANDS.find(command => command.name === first)
  if (command !== undefined) return command.run(rest, { out: line => process.stdout.write(`${line}\n`), err: line => process.stderr.write(`${line}\n`) })
  const known = first.startsWith('--') ? ['--help', '--version'] : COMMANDS.map(command => command.name)
  const nearest = findNearest(first, known)
  process.stderr.write(`unknown ${first.startsWith('--') ? 'flag' : 'command'} ${first}; ${nearest === undefined ? 'see --help' : `did you mean ${nearest}?`}\n`)
  return ExitCode.badInput
}

try {
  process.exitCode = await runCommand(process.argv.slice(2))
} catch (error) {
  process.stderr.write(`dragonflylever: ${(error as Error).message}\n`)
  process.exitCode = ExitCode.failed
}
