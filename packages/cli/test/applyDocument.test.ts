/**
 * Repeating an application whose answer is missing.
 */
import type { ApplyOutcome, ApplyRequest } from '@dragonflylever/protocol'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'

import { applyDocument } from '../src/operators/applyDocument.js'
import type { CallResult } from '../src/operators/operatorClient.js'

const REQUEST: ApplyRequest = { document: '{}', expect: 0, by: 'ana', nonce: 'nonce-of-the-test', allowUnknownFleet: false, isRepeat: false }
const CUT: CallResult<ApplyOutcome> = { kind: 'failed', message: 'cut', isSent: true }
const REFUSED: CallResult<ApplyOutcome> = { kind: 'failed', message: 'refused', isSent: false }
const ACCEPTED: CallResult<ApplyOutcome> = { kind: 'ok', value: { kind: 'accepted', revision: 1, isFleetChecked: true } }

/** Applies against a script of results; returns the final result and the requests sent. */
async function runScript (script: Array<CallResult<ApplyOutcome>>): Promise<{ result: CallResult<ApplyOutcome>, sent: ApplyRequest[] }> {
  const clock = FakeTimers.install()
  const sent: ApplyRequest[] = []
  const running = applyDocument(async message => {
    sent.push(message)
    return script.shift() ?? CUT
  }, REQUEST)
  await clock.runAllAsync()
  clock.uninstall()
  return { result: await running, sent }
}

test.serial('a call that was cut is repeated with the same nonce and as a repeat', async t => {
  const { result, sent } = await runScript([CUT, ACCEPTED])
  t.deepEqual(result, ACCEPTED)
  t.deepEqual(sent, [REQUEST, { ...REQUEST, isRepeat: true }])
})

test.serial('a call that never left is not repeated and counts as not sent', async t => {
  const { result, sent } = await runScript([REFUSED])
  t.deepEqual(result, REFUSED)
  t.is(sent.length, 1)
})

test.serial('an entry that is gone after a cut leaves the outcome open', async t => {
  const { result, sent } = await runScript([CUT, REFUSED, REFUSED])
  t.deepEqual(result, { ...REFUSED, isSent: true })
  t.is(sent.length, 3)
})
