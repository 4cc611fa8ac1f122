/**
 * Calls the operators' port of the entry that the flags or the profile name.
 */
import type { ParsedFlags } from '@dragonflylever/runtime/flags'

import type { CommandOutput } from '../command.js'
import { ExitCode } from '../flagCommand.js'
import type { CallResult, OperatorClient } from './operatorClient.js'
import { readOperatorTarget } from './operatorFlags.js'

/** Answer of the entry, or, after an error was printed, the exit code with which the command ends. */
export type EntryAnswer<T> = { readonly kind: 'ok', readonly value: T } | { readonly kind: 'ended', readonly exitCode: number }

/** Calls the entry on behalf of a command and prints an error if the call fails. */
export async function callEntry<T> (command: string, flags: ParsedFlags, output: CommandOutput, call: (client: OperatorClient) => Promise<CallResult<T>>): Promise<EntryAnswer<T>> {
  const target = readOperatorTarget(flags, output)
  if (target === undefined) return { kind: 'ended', exitCode: ExitCode.badInput }
  const { OperatorClient } = await import('./operatorClient.js')
  const result = await call(new OperatorClient(target))
  if (result.kind === 'ok') return result
  output.err(`${command}: ${result.message}`)
  return { kind: 'ended', exitCode: ExitCode.failed }
}
