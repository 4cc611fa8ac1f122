/**
 * Tests the path of a request through separate entry and agent processes on loopback.
 */
import { createHash } from 'node:crypto'
import { fileURLToPath } from 'node:url'

import { ProcessFleet, RUN_MS_HEADER, WORK_ID_HEADER } from '@dragonflylever/standins'
import test from 'ava'
import { request } from 'undici'

const BINARY = fileURLToPath(new URL('../../src/main.js', import.meta.url))

function makeHeaders (workId: string, className = 'care-match', runMs = 0): Record<string, string> {
  return { 'dfl-class': className, 'dfl-organisation': 'guild', [WORK_ID_HEADER]: workId, [RUN_MS_HEADER]: String(runMs) }
}

test('a request reaches an endpoint through entry and agent, and the caller gets the answer to its own request', async t => {
  const fleet = await ProcessFleet.start({ binary: BINARY, entries: 1, agents: 2 })
  t.teardown(() => fleet.close())
  const bodies = Array.from({ length: 20 }, (_, index) => `body ${index}`)
  const answers = await Promise.all(bodies.map(async (body, index) => {
    const response = await request(`${fleet.getCallerUrl()}/v1/call/match`, { method: 'POST', headers: makeHeaders(`work-${index}`), body })
    return { status: response.statusCode, value: await response.body.json() as { digest: string } }
  }))
  for (const [index, body] of bodies.entries()) {
    t.is(answers[index]?.status, 200)
    t.is(answers[index]?.value.digest, createHash('sha256').update(body).digest('hex'))
  }
})

test('on SIGTERM an agent finishes its requests and exits with code 0', async t => {
  const fleet = await ProcessFleet.start({ binary: BINARY, entries: 1, agents: 1 })
  t.teardown(() => fleet.close())
  const agent = fleet.agents[0]
  if (agent === undefined) return t.fail('no agent')
  const answer = request(`${fleet.getCallerUrl()}/v1/call/match`, { method: 'POST', headers: makeHeaders('slow', 'reconciliation', 500), body: 'x' })
  while (agent.endpoint.countExecutions('slow') === 0) await new Promise(resolve => setTimeout(resolve, 5))
  agent.daemon.signal('SIGTERM')
  agent.daemon.signal('SIGTERM')
  t.is((await answer).statusCode, 200)
  t.is(await agent.daemon.waitForExit(), 0)
})
