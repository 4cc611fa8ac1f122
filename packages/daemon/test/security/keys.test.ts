/**
 * Tests authorisation by the keys of organisations, of the operators and of the cluster. No key may appear in a log.
 */
import { RPC_PATH } from '@dragonflylever/protocol'
import { RpcClient, createLogger } from '@dragonflylever/runtime'
import { EndpointStandIn, OPERATORS_KEY, createAgentSettings, createEntrySettings, openSampleStore } from '@dragonflylever/standins'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { request } from 'undici'

import { AgentProcess, EntryProcess } from '../../src/index.js'

const GUILD_KEY = 'guild-key-of-the-test'
const CANTEENS_KEY = 'canteens-key-of-the-test'
const WRONG_KEY = 'a-wrong-key-of-the-test'

interface Fixture {
  readonly entry: EntryProcess
  readonly agent: AgentProcess
  readonly endpoint: EndpointStandIn
  readonly clusterKey: string
  readonly logged: string[]
}

async function startFixture (t: ExecutionContext, operatorsKey: string | undefined = OPERATORS_KEY): Promise<Fixture> {
  const logged: string[] = []
  const logger = createLogger({ level: 'debug', processId: 'test', destination: { write: (line: string) => { logged.push(line) } } })
  const store = await openSampleStore()
  const { operatorsKey: _, ...settings } = createEntrySettings({ id: 'entry-1', storeUrl: store.url })
  const keys = { organisationKeys: { guild: GUILD_KEY, canteens: CANTEENS_KEY }, ...(operatorsKey === '' ? {} : { operatorsKey }) }
  const entry = await EntryProcess.start({ ...settings, ...keys }, { logger })
  const endpoint = await EndpointStandIn.open()
  const agent = await AgentProcess.start(createAgentSettings({ id: 'agent-1', storeUrl: store.url, endpointUrl: endpoint.url, join: [entry.controlAddress] }), { logger })
  t.teardown(async () => {
    await Promise.all([entry.stop(), agent.stop()])
    await Promise.all([endpoint.close(), store.close()])
  })
  return { entry, agent, endpoint, clusterKey: settings.clusterKey, logged }
}

async function getStatus (url: string, headers: Record<string, string>, method: 'GET' | 'POST' = 'GET', body: string | null = null): Promise<number> {
  const response = await request(url, { method, headers, body })
  await response.body.dump()
  return response.statusCode
}

test('a caller needs the key of the organisation for which it sends a request', async t => {
  const { entry, endpoint, logged } = await startFixture(t)
  const url = `http://${entry.callerAddress}/v1/call/match`
  const call = (key: string | undefined): Promise<number> => {
    const headers = { 'dfl-class': 'care-match', 'dfl-organisation': 'guild' }
    return getStatus(url, key === undefined ? headers : { ...headers, authorization: `Bearer ${key}` }, 'POST', 'x')
  }
  t.deepEqual([await call(undefined), await call(WRONG_KEY), await call(CANTEENS_KEY)], [401, 401, 401])
  t.is(endpoint.executions.length, 0)
  t.is(await call(GUILD_KEY), 200)
  t.is(endpoint.executions.length, 1)
  for (const key of [GUILD_KEY, CANTEENS_KEY, WRONG_KEY]) t.false(logged.join('').includes(key))
})

test('the operator server requires the operators\' key, and no other server serves its paths', async t => {
  const { entry, logged } = await startFixture(t)
  const authorization = `Bearer ${OPERATORS_KEY}`
  const url = `http://${entry.operatorAddress}/v1/status`
  t.deepEqual([await getStatus(url, {}), await getStatus(url, { authorization: `Bearer ${WRONG_KEY}` }), await getStatus(url, { authorization })], [401, 401, 200])
  t.is(await getStatus(`http://${entry.operatorAddress}/v1/config`, {}, 'POST', '{}'), 401)
  for (const address of [entry.callerAddress, entry.controlAddress]) t.true(await getStatus(`http://${address}/v1/status`, { authorization }) >= 400)
  for (const key of [OPERATORS_KEY, WRONG_KEY]) t.false(logged.join('').includes(key))
})

test('an entry without an operators\' key in its settings refuses every operator', async t => {
  const { entry } = await startFixture(t, '')
  t.is(await getStatus(`http://${entry.operatorAddress}/v1/status`, { authorization: 'Bearer undefined' }), 403)
})

test('a document larger than the limit gets 413 before it is parsed', async t => {
  const { entry } = await startFixture(t)
  const body = JSON.stringify({ document: 'x'.repeat(2 * 1024 * 1024) })
  t.is(await getStatus(`http://${entry.operatorAddress}/v1/config`, { authorization: `Bearer ${OPERATORS_KEY}` }, 'POST', body), 413)
})

test('control calls and dispatches require the cluster key', async t => {
  const { entry, agent, endpoint, clusterKey, logged } = await startFixture(t)
  for (const address of [entry.controlAddress, agent.controlAddress]) {
    t.is(await getStatus(`http://${address}${RPC_PATH}`, { 'dfl-cluster-key': WRONG_KEY }, 'POST', '{}'), 401)
    t.is(await getStatus(`http://${address}${RPC_PATH}`, {}, 'POST', '{}'), 401)
  }
  t.is(await getStatus(`http://${agent.controlAddress}/dispatch`, { 'dfl-attempt': 'a' }, 'POST', 'x'), 401)
  t.is(endpoint.executions.length, 0)
  const stranger = new RpcClient(WRONG_KEY)
  t.teardown(() => stranger.close())
  t.is((await stranger.call(agent.controlAddress, 'withdraw', { attemptId: 'a', incarnation: 'b' }, 1_000)).kind, 'failed')
  for (const key of [clusterKey, WRONG_KEY]) t.false(logged.join('').includes(key))
})
