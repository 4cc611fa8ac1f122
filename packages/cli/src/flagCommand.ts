/**
 * Creates commands with shared flag parsing, `--help` and validation of the number of arguments.
 */
import { formatFlags, parseFlags } from '@dragonflylever/runtime/flags'
import type { FlagSpecs, ParsedFlags } from '@dragonflylever/runtime/flags'

import type { Command, CommandOutput } from './command.js'

/** Exit codes of the commands; `badInput` means invalid flags, arguments or files. */
export const ExitCode = { ok: 0, failed: 1, badInput: 2 } as const

/** Definition of a command: its flags, its arguments and its function. */
export interface FlagCommandSpec {
  readonly name: string
  /** Command line with arguments and main flags, without the program name, for help pages. */
  readonly usage: string
  readonly help: string
  readonly flags: FlagSpecs
  readonly minArguments: number
  readonly maxArguments: number
  readonly execute: (flags: ParsedFlags, output: CommandOutput) => Promise<number>
}

const HELP_FLAG = { help: { type: 'boolean', help: 'print this page' } } as const

/** Creates a command that validates its arguments before it runs. */
export function createFlagCommand (spec: FlagCommandSpec): Command {
  const specs = { ...spec.flags, ...HELP_FLAG }
  return {
    name: spec.name,
    usage: spec.usage,
    help: spec.help,
    async run (args, output) {
      const parsed = parseFlags(args, specs)
      if (parsed.kind === 'refused') return printUsageError(spec, parsed.message, output)
      if (parsed.flags.values.help === true) {
        output.out(`dragonflylever ${spec.name}: ${spec.help}\n\nUsage: dragonflylever ${spec.usage}\n\n${formatFlags(specs)}`)
        return ExitCode.ok
      }
      const count = parsed.flags.positionals.length
      if (count < spec.minArguments || count > spec.maxArguments) return printUsageError(spec, `expected ${describeArgumentCount(spec)}, found ${count}`, output)
      return spec.execute(parsed.flags, output)
    }
  }
}

/** Returns the value of a string flag, or undefined if the flag is absent. */
export function getStringFlag (flags: ParsedFlags, name: string): string | undefined {
  const value = flags.values[name]
  return typeof value === 'string' ? value : undefined
}

function printUsageError (spec: FlagCommandSpec, message: string, output: CommandOutput): number {
  output.err(`${spec.name}: ${message}; usage: dragonflylever ${spec.usage}`)
  return ExitCode.badInput
}

function describeArgumentCount (spec: FlagCommandSpec): string {
  const range = spec.minArguments === spec.maxArguments ? String(spec.minArguments) : `${spec.minArguments} to ${spec.maxArguments}`
  return `${range} arguments`
}
