/**
 * `dragonflylever apply FILE --expect REVISION`: puts declarations in force.
 */
import { randomUUID } from 'node:crypto'
import { userInfo } from 'node:os'

import { acceptableDeclarationsSchema, formatChange, formatFault } from '@dragonflylever/protocol'
import type { ApplyOutcome } from '@dragonflylever/protocol'

import type { CommandOutput } from '../command.js'
import { ExitCode, createFlagCommand, getStringFlag } from '../flagCommand.js'
import { OPERATOR_FLAGS, readOperatorTarget } from '../operators/operatorFlags.js'
import { readDocument } from '../readDocument.js'

const REVISION_PATTERN = /^\d{1,9}$/

const FLAGS = {
  expect: { type: 'string', help: 'revision that the document replaces; 0 if there is none yet' },
  by: { type: 'string', help: 'name of the operator for the history; default: the user name' },
  nonce: { type: 'string', help: 'nonce of an earlier attempt whose outcome is unknown' },
  'allow-unknown-fleet': { type: 'boolean', help: 'accept without checking the guarantees if no worker is announced' },
  ...OPERATOR_FLAGS
} as const

export const applyCommand = createFlagCommand({
  name: 'apply',
  usage: 'apply FILE --expect REVISION',
  help: 'put declarations in force',
  flags: FLAGS,
  minArguments: 1,
  maxArguments: 1,
  async execute (flags, output) {
    const [file = ''] = flags.positionals
    const expect = getStringFlag(flags, 'expect') ?? ''
    if (!REVISION_PATTERN.test(expect)) {
      output.err(`apply: --expect: found ${expect === '' ? 'nothing' : expect}, expected the revision in force, a whole number; see "dragonflylever history"`)
      return ExitCode.badInput
    }
    const document = readDocument(file, acceptableDeclarationsSchema, output)
    const target = document === undefined ? undefined : readOperatorTarget(flags, output)
    if (document === undefined || target === undefined) return ExitCode.badInput
    const { OperatorClient } = await import('../operators/operatorClient.js')
    const { applyDocument } = await import('../operators/applyDocument.js')
    const client = new OperatorClient(target)
    const givenNonce = getStringFlag(flags, 'nonce')
    const nonce = givenNonce ?? randomUUID()
    const result = await applyDocument(message => client.apply(message), {
      document: document.text,
      expect: Number(expect),
      by: getStringFlag(flags, 'by') ?? userInfo().username,
      nonce,
      allowUnknownFleet: flags.values['allow-unknown-fleet'] === true,
      isRepeat: givenNonce !== undefined
    })
    if (result.kind === 'ok') return printOutcome(file, nonce, result.value, output)
    output.err(`apply: ${result.message}`)
    output.err(result.isSent ? formatUnknownOutcome(nonce) : 'the document was not accepted')
    return ExitCode.failed
  }
})

/** Prints the outcome of the apply request and returns the exit code. */
function printOutcome (file: string, nonce: string, outcome: ApplyOutcome, output: CommandOutput): number {
  if (outcome.kind === 'accepted') {
    output.out(`accepted as revision ${outcome.revision}${outcome.isFleetChecked ? '' : '; no worker was announced, so the guarantees were not checked'}`)
    return ExitCode.ok
  }
  if (outcome.kind === 'refused') {
    for (const fault of outcome.faults) output.err(formatFault(file, fault))
    return ExitCode.badInput
  }
  if (outcome.kind === 'stale') printStaleRevision(outcome, output)
  else output.err(outcome.kind === 'storeUnavailable' ? `not accepted: the store is unavailable (${outcome.message}); apply again later` : `${outcome.message}; ${formatUnknownOutcome(nonce)}`)
  return ExitCode.failed
}

function printStaleRevision (outcome: Extract<ApplyOutcome, { kind: 'stale' }>, output: CommandOutput): void {
  output.err(`not accepted: revision ${outcome.currentRevision} is in force; merge what changed and apply with --expect ${outcome.currentRevision}`)
  for (const entry of outcome.since) output.err(`revision ${entry.revision} by ${entry.acceptedBy} at ${new Date(entry.acceptedAt).toISOString()}`)
  for (const change of outcome.changes ?? []) output.err(formatChange(change))
}

function formatUnknownOutcome (nonce: string): string {
  return `it is unknown whether the document was accepted; run the same command with --nonce ${nonce} to find out`
}
