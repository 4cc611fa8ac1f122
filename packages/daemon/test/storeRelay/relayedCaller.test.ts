/**
 * Store calls that are relayed by agents because the store does not serve this host.
 */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

import { DirectPath } from '@dragonflylever/daemon/storeRelay/directPath'
import { RELAY_PATH, RelayedCaller } from '@dragonflylever/daemon/storeRelay/relayedCaller'
import { createRelayHandler } from '@dragonflylever/daemon/storeRelay/relayHandler'
import { HttpClient, createLogger } from '@dragonflylever/runtime'
import type { HttpCall, HttpCaller, HttpOutcome } from '@dragonflylever/runtime'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

const LOGGER = createLogger({ level: 'silent', processId: 't' })
const PROBE_PATH = '/probe'
const PARTS = Array.from({ length: 10 }, (_, index) => `part ${index};`)
const PART_INTERVAL_MS = 60
const SILENT_AGENTS = Array.from({ length: 20 }, (_, index) => `agent-${index}`)
const CALL: HttpCall = { address: 'store', method: 'POST', path: '/x', body: '{"a":1}', timeoutMs: 500 }

/** HTTP client for the store that counts the calls, apart from probes, and returns the answer set by the test. */
class ScriptedCaller implements HttpCaller {
  calls = 0
  answer: HttpOutcome

  constructor (answer: HttpOutcome) {
    this.answer = answer
  }

  async call (call: HttpCall): Promise<HttpOutcome> {
    if (call.path !== PROBE_PATH) this.calls++
    return this.answer
  }

  close (): void {}
}

function makeAnswer (status: number, body = ''): HttpOutcome {
  return { kind: 'answered', status, headers: {}, body }
}

function createDirectPath (t: ExecutionContext, caller: HttpCaller): DirectPath {
  const path = new DirectPath({ caller, probe: { address: 'store', path: PROBE_PATH }, logger: LOGGER })
  t.teardown(() => path.close())
  return path
}

/** Opens an HTTP server that relays calls as an agent does, through the given caller; returns its address. */
async function openRelay (t: ExecutionContext, direct: HttpCaller): Promise<string> {
  const handle = createRelayHandler({ direct: createDirectPath(t, direct), storeAddress: 'store', logger: LOGGER })
  const server = createServer((request, response) => { void (request.url === RELAY_PATH ? handle(request, response) : response.end()) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => { server.closeAllConnections(); server.close() })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

function createCaller (t: ExecutionContext, direct: HttpCaller, relays: readonly string[]): RelayedCaller {
  const peers = new HttpClient({ maxConnections: 2, maxAnswerBytes: 10_000 })
  const caller = new RelayedCaller({ direct: createDirectPath(t, direct), peers, listRelays: () => relays, logger: LOGGER })
  t.teardown(() => caller.close())
  return caller
}

test('a call that fails directly is relayed by an agent that the store serves', async t => {
  const agentCaller = new ScriptedCaller(makeAnswer(412, '{"items":[]}'))
  for (const answer of [makeAnswer(503), makeAnswer(429), { kind: 'lost', message: 'x' }, { kind: 'notSent', message: 'x', isRefused: true }] as HttpOutcome[]) {
    const caller = createCaller(t, new ScriptedCaller(answer), [await openRelay(t, agentCaller)])
    t.like(await caller.call(CALL), { kind: 'answered', status: 412, body: '{"items":[]}' })
  }
})

test('while direct calls fail, calls go to agents first, and a direct attempt is made only at intervals', async t => {
  const directCaller = new ScriptedCaller({ kind: 'lost', message: 'x' })
  const caller = createCaller(t, directCaller, [await openRelay(t, new ScriptedCaller(makeAnswer(200)))])
  for (let count = 0; count < 5; count++) t.like(await caller.call(CALL), { status: 200 })
  t.is(directCaller.calls, 1)
})

test('when no agent reaches the store either, the outcome of the direct call is returned and agents are not asked for a while', async t => {
  const agentCaller = new ScriptedCaller({ kind: 'notSent', message: 'x', isRefused: true })
  const caller = createCaller(t, new ScriptedCaller({ kind: 'notSent', message: 'down', isRefused: true }), [await openRelay(t, agentCaller)])
  for (let count = 0; count < 5; count++) t.like(await caller.call(CALL), { kind: 'notSent' })
  t.is(agentCaller.calls, 1)
})

test('when an agent got no answer to a write, the outcome is `lost`, although the direct call was not sent', async t => {
  const agentCaller = new ScriptedCaller({ kind: 'lost', message: 'x' })
  const caller = createCaller(t, new ScriptedCaller({ kind: 'notSent', message: 'down', isRefused: true }), [await openRelay(t, agentCaller)])
  t.like(await caller.call(CALL), { kind: 'lost' })
  t.is(agentCaller.calls, 1)
})

test('an agent refuses a request that is not a store call', async t => {
  const client = new HttpClient({ maxConnections: 1, maxAnswerBytes: 1_000 })
  t.teardown(() => client.close())
  const address = await openRelay(t, new ScriptedCaller(makeAnswer(200)))
  t.like(await client.call({ address, method: 'POST', path: RELAY_PATH, body: '{"method":"PUT"}', timeoutMs: 500 }), { status: 400 })
})

/** HTTP client for the store whose answer comes in parts; the last of them never comes if `isBroken`. */
class PartwiseCaller implements HttpCaller {
  private readonly _isBroken: boolean

  constructor (isBroken: boolean) {
    this._isBroken = isBroken
  }

  async call (call: HttpCall): Promise<HttpOutcome> {
    for (const part of PARTS) {
      call.onPart?.(Buffer.from(part), 200)
      await new Promise(resolve => setTimeout(resolve, PART_INTERVAL_MS))
    }
    return this._isBroken ? { kind: 'lost', message: 'x' } : makeAnswer(200, PARTS.join(''))
  }

  close (): void {}
}

for (const isBroken of [false, true]) {
  test(`an agent passes a large answer on as it arrives${isBroken ? ', and the call is lost if the store stops sending it' : ', for longer than the timeout of the call'}`, async t => {
    const down: HttpOutcome = { kind: 'notSent', message: 'down', isRefused: true }
    const caller = createCaller(t, new ScriptedCaller(down), [await openRelay(t, new PartwiseCaller(isBroken))])
    const outcome = await caller.call({ address: 'store', method: 'GET', path: '/x', timeoutMs: 200, transfer: { maxGapMs: 5_000, maxMs: 10_000 } })
    if (isBroken) t.deepEqual(outcome, down)
    else t.like(outcome, { kind: 'answered', status: 200, body: PARTS.join('') })
  })
}

/** Sends calls to agents of which only the last one answers. */
class SilentPeers implements HttpCaller {
  readonly asked = new Set<string>()

  async call (call: HttpCall): Promise<HttpOutcome> {
    this.asked.add(call.address)
    if (call.address === SILENT_AGENTS.at(-1)) return makeAnswer(200, '{}')
    await new Promise(resolve => { setTimeout(resolve, call.timeoutMs).unref() })
    return { kind: 'lost', message: 'no answer' }
  }

  close (): void {}
}

test.serial('a process that the store turns away finds the only agent of a large fleet that answers, by writes alone', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  t.teardown(() => clock.uninstall())
  const peers = new SilentPeers()
  const direct = createDirectPath(t, new ScriptedCaller({ kind: 'notSent', message: 'down', isRefused: true }))
  const caller = new RelayedCaller({ direct, peers, listRelays: () => SILENT_AGENTS, logger: LOGGER })
  const startedAt = clock.now
  while (clock.now - startedAt < 30_000) {
    const outcomes: HttpOutcome[] = []
    void caller.call(CALL).then(outcome => outcomes.push(outcome))
    while (outcomes.length === 0) await clock.tickAsync(50)
    if (outcomes[0]?.kind === 'answered') break
  }
  t.true(peers.asked.has(SILENT_AGENTS.at(-1) ?? ''), `${peers.asked.size} of ${SILENT_AGENTS.length} agents were asked`)
  t.true(clock.now - startedAt < 15_000, `found after ${clock.now - startedAt} ms`)
  caller.close()
})

test.serial('a read whose agents are silent is answered directly soon after the store serves the process again', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  t.teardown(() => clock.uninstall())
  const directCaller = new ScriptedCaller({ kind: 'lost', message: 'x' })
  const caller = new RelayedCaller({ direct: createDirectPath(t, directCaller), peers: new SilentPeers(), listRelays: () => SILENT_AGENTS.slice(0, -1), logger: LOGGER })
  t.teardown(() => caller.close())
  const read: HttpCall = { address: 'store', method: 'GET', path: '/x', timeoutMs: 500 }
  void caller.call(read)
  await clock.tickAsync(10_000)
  const outcomes: HttpOutcome[] = []
  void caller.call(read).then(outcome => outcomes.push(outcome))
  directCaller.answer = makeAnswer(200)
  // One interval of the probe and one of the search.
  await clock.tickAsync(700)
  t.like(outcomes[0], { kind: 'answered', status: 200 })
})

test.serial('the log names the agents that were asked in vain, and what each answered', async t => {
  const lines: string[] = []
  const logger = createLogger({ level: 'info', processId: 't', destination: { write: line => { lines.push(line) } } })
  const peers: HttpCaller = { call: async ({ address }) => address === 'a' ? makeAnswer(503) : { kind: 'lost', message: 'no answer within 600 ms' }, close: () => {} }
  const caller = new RelayedCaller({ direct: createDirectPath(t, new ScriptedCaller({ kind: 'lost', message: 'x' })), peers, listRelays: () => ['a', 'b'], logger })
  t.teardown(() => caller.close())
  t.is((await caller.call({ address: 'store', method: 'GET', path: '/x', timeoutMs: 100 })).kind, 'lost')
  const line = lines.map(text => JSON.parse(text) as Record<string, unknown>).find(({ msg }) => msg === 'no agent could relay a store call')
  t.like(line, { path: '/x', agents: 2, askedCount: 2 })
  t.deepEqual(line?.['asked'], [{ address: 'a', outcome: '503' }, { address: 'b', outcome: 'no answer within 600 ms' }])
})
