/**
 * Tests with separate processes that a truncated answer is never passed on and that bodies up to the limits are passed on whole.
 */
import { createHash } from 'node:crypto'
import { fileURLToPath } from 'node:url'

import { ANSWER_BYTES_HEADER, ProcessFleet, WORK_ID_HEADER } from '@dragonflylever/standins'
import type { EndpointFault } from '@dragonflylever/standins'
import { CallerLimit } from '@dragonflylever/protocol'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { request } from 'undici'

const BINARY = fileURLToPath(new URL('../../src/main.js', import.meta.url))
const FAULTS: readonly EndpointFault[] = ['truncate', 'noFraming', 'cutAfter', 'cutBefore']

async function startFleet (t: ExecutionContext, agents: number): Promise<ProcessFleet> {
  const fleet = await ProcessFleet.start({ binary: BINARY, entries: 1, agents })
  t.teardown(() => fleet.close())
  return fleet
}

async function send (fleet: ProcessFleet, className: string, workId: string, body: string, answerBytes = 0): Promise<{ status: number, reason: string, text: string }> {
  const headers = { 'dfl-class': className, 'dfl-organisation': 'guild', 'dfl-deadline-ms': '20000', [WORK_ID_HEADER]: workId, [ANSWER_BYTES_HEADER]: String(answerBytes) }
  const response = await request(`${fleet.getCallerUrl()}/v1/call/match`, { method: 'POST', headers, body })
  return { status: response.statusCode, reason: String(response.headers['dfl-reason']), text: await response.body.text() }
}

function countExecutions (fleet: ProcessFleet, workId: string): number {
  return fleet.agents.reduce((sum, agent) => sum + agent.endpoint.countExecutions(workId), 0)
}

test('after a truncated answer an idempotent request is retried at another agent, and the outcome of any other request is unknown', async t => {
  const fleet = await startFleet(t, 2)
  const [faulty] = fleet.agents
  if (faulty === undefined) return t.fail('no agent')
  for (const fault of FAULTS) {
    faulty.endpoint.fault = fault
    for (let index = 0; index < 6; index++) {
      const idempotent = await send(fleet, 'care-match', `${fault}-${index}`, `body ${index}`)
      t.is(idempotent.status, 200)
      t.true(idempotent.text.includes(createHash('sha256').update(`body ${index}`).digest('hex')))
      const nonIdempotent = await send(fleet, 'reconciliation', `${fault}-once-${index}`, 'x')
      t.true(nonIdempotent.status === 200 || nonIdempotent.reason === 'answerLost', `${nonIdempotent.status} ${nonIdempotent.reason}`)
      t.true(countExecutions(fleet, `${fault}-once-${index}`) <= 1)
    }
  }
})

test('request and answer bodies within the size limits are forwarded, and a request whose answer exceeds the limit ends with an unknown outcome and is not retried', async t => {
  const fleet = await startFleet(t, 2)
  const body = 'x'.repeat(CallerLimit.requestBodyBytes)
  const large = await send(fleet, 'care-match', 'large', body, CallerLimit.answerBodyBytes - 1_024)
  t.is(large.status, 200)
  t.true(large.text.includes(createHash('sha256').update(body).digest('hex')))
  t.like(await send(fleet, 'care-match', 'too-large', 'x', CallerLimit.answerBodyBytes + 1), { status: 502, reason: 'answerTooLarge' })
  t.is(countExecutions(fleet, 'too-large'), 1)
  t.is((await send(fleet, 'care-match', 'long', `${body}x`)).status, 413)
})
