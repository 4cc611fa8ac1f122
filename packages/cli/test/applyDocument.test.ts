/**
 * Guards against a document being lost or applied twice: checks how `apply` retries a request that got no answer.
 */
import type { ApplyOutcome, ApplyRequest } from '@dragonflylever/protocol'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'

import { applyDocument } from '../src/operators/applyDocument.js'
import type { CallResult } from '../src/operators/operatorClient.js'

const REQUEST: ApplyRequest = { document: '{}', expect: 0, by: 'ana', nonce: 'nonce-of-the-test', allowUnknownFleet: false, isRepeat: false }
const CONNECTION_LOST: CallResult<ApplyOutcome> = { kind: 'failed', message: 'cut', isSent: true }
const CONNECTION_REFUSED: CallResult<ApplyOutcome> = { kind: 'failed', message: 'refused', isSent: false }
const ACCEPTED: CallResult<ApplyOutcome> = { kind: 'ok', value: { kind: 'accepted', revision: 1, isFleetChecked: true } }

/** Applies a document with a sender that returns the given results in turn. Returns the final result and the requests sent. */
async function runScript (script: Array<CallResult<ApplyOutcome>>): Promise<{ result: CallResult<ApplyOutcome>, sent: ApplyRequest[] }> {
  const clock = FakeTimers.install()
  const sent: ApplyRequest[] = []
  const running = applyDocument(async message => {
    sent.push(message)
    return script.shift() ?? CONNECTION_LOST
  }, REQUEST)
  await clock.runAllAsync()
  clock.uninstall()
  return { result: await running, sent }
}

test.serial('a call whose connection was lost is retried with the same nonce and marked as a repeat', async t => {
  const { result, sent } = await runScript([CONNECTION_LOST, ACCEPTED])
  t.deepEqual(result, ACCEPTED)
  t.deepEqual(sent, [REQUEST, { ...REQUEST, isRepeat: true }])
})

test.serial('a call that could not be sent is not retried and is reported as not sent', async t => {
  const { result, sent } = await runScript([CONNECTION_REFUSED])
  t.deepEqual(result, CONNECTION_REFUSED)
  t.is(sent.length, 1)
})

test.serial('if the entry is unreachable for all retries after a lost connection, the outcome is reported as unknown', async t => {
  const { result, sent } = await runScript([CONNECTION_LOST, CONNECTION_REFUSED, CONNECTION_REFUSED])
  t.deepEqual(result, { ...CONNECTION_REFUSED, isSent: true })
  t.is(sent.length, 3)
})
