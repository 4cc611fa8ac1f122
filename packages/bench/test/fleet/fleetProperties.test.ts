/**
 * Checks fleet membership and the spread of configurations in an in-memory fleet, under random and selected faults.
 */
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'

import { MemoryFleet } from '../../src/fleet/memoryFleet.js'
import type { MemoryProcess } from '../../src/fleet/memoryFleet.js'

const LAYOUTS = [
  { region: 'north', failureDomain: 'n1', entries: 1, agents: 4 },
  { region: 'north', failureDomain: 'n2', entries: 1, agents: 4 },
  { region: 'south', failureDomain: 's1', entries: 1, agents: 4 }
]
const CONVERGENCE_MS = 12_000
const FAILURE_DETECTION_MS = 3_000
const LEAVE_DETECTION_MS = 2_000

function createClock (t: ExecutionContext): Clock {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  t.teardown(() => clock.uninstall())
  return clock
}

async function startFleet (t: ExecutionContext, seed = 1): Promise<{ clock: Clock, fleet: MemoryFleet }> {
  const clock = createClock(t)
  const fleet = new MemoryFleet(LAYOUTS, seed)
  fleet.startAll()
  await clock.tickAsync(8_000)
  return { clock, fleet }
}

function listEntries (fleet: MemoryFleet): MemoryProcess[] {
  return fleet.running.filter(one => one.id.includes('-e'))
}

function isListedAlive (entry: MemoryProcess, target: MemoryProcess): boolean {
  const member = entry.board.get('members').get(target.id)?.member
  return member?.incarnation === target.incarnation && member.state === 'alive'
}

function isConverged (fleet: MemoryFleet, revision: number): boolean {
  const isInForce = fleet.running.every(one => one.node.holder.revision === revision)
  return isInForce && listEntries(fleet).every(entry => entry.board.get('members').size === fleet.running.length && fleet.running.every(one => isListedAlive(entry, one)))
}

const processIndex = fc.integer({ min: 0, max: 14 })
const step = fc.oneof(
  fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 100, max: 4_000 }) }),
  fc.record({ kind: fc.constant('accept' as const), processIndex }),
  fc.record({ kind: fc.constant('lateRelay' as const), processIndex, revision: fc.integer({ min: 1, max: 5 }) }),
  fc.record({ kind: fc.constant('kill' as const), processIndex }),
  fc.record({ kind: fc.constant('stop' as const), processIndex }),
  fc.record({ kind: fc.constant('start' as const), processIndex }),
  fc.record({ kind: fc.constant('restart' as const), processIndex }),
  fc.record({ kind: fc.constant('store' as const), isDown: fc.boolean() }),
  fc.record({ kind: fc.constant('cut' as const), isCut: fc.boolean() }),
  fc.record({ kind: fc.constant('loseAnswer' as const), processIndex }),
  fc.record({ kind: fc.constant('skipWatch' as const), processIndex, isSkipping: fc.boolean() })
)

test.serial('the revision in force never decreases, accepted revisions are never lost, and all processes converge once the faults end', async t => {
  const clock = createClock(t)
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 30 }), fc.integer({ min: 1, max: 1_000_000 }), async (steps, seed) => {
    const fleet = new MemoryFleet(LAYOUTS, seed)
    fleet.startAll()
    await clock.tickAsync(6_000)
    const ids = [...fleet.processes.keys()]
    const seen = new Map<string, number>()
    let accepted = 0
    let hasRevisionFallen = false
    const advance = async (ms: number): Promise<void> => {
      for (let passed = 0; passed < ms; passed += 250) {
        await clock.tickAsync(Math.min(250, ms - passed))
        for (const { incarnation, node } of fleet.running) {
          hasRevisionFallen ||= node.holder.revision < (seen.get(incarnation) ?? 0)
          seen.set(incarnation, node.holder.revision)
        }
      }
    }
    for (const current of steps) {
      const id = 'processIndex' in current ? ids[current.processIndex] ?? '' : ''
      const isRunning = id !== '' && fleet.getProcess(id).isRunning
      if (current.kind === 'wait') await advance(current.ms)
      if (current.kind === 'accept' && isRunning && fleet.acceptConfiguration(id, accepted + 1)) accepted++
      if (current.kind === 'lateRelay' && current.revision <= accepted) fleet.sendDelayedUpdate(id, current.revision)
      if (current.kind === 'kill' && isRunning) fleet.kill(id)
      if (current.kind === 'stop' && isRunning) void fleet.stop(id)
      if (current.kind === 'start' && !isRunning) fleet.start(id)
      if (current.kind === 'restart' && isRunning) {
        fleet.kill(id)
        fleet.start(id)
      }
      if (current.kind === 'store') fleet.setStoreDown(current.isDown)
      if (current.kind === 'cut') fleet.setRegionsPartitioned(current.isCut)
      if (current.kind === 'loseAnswer') fleet.getProcess(id).storeStandIn.faults.loseAnswers++
      if (current.kind === 'skipWatch') fleet.getProcess(id).storeStandIn.faults.skipWatchEvents = current.isSkipping
      await advance(100)
    }
    await advance(4_000)
    fleet.setStoreDown(false)
    fleet.setRegionsPartitioned(false)
    for (const process of fleet.running) process.storeStandIn.faults.skipWatchEvents = false
    for (const id of ids) if (!fleet.getProcess(id).isRunning) fleet.start(id)
    await advance(CONVERGENCE_MS)
    const isDone = isConverged(fleet, accepted)
    const closing = fleet.close()
    await clock.tickAsync(5_000)
    await closing
    return isDone && !hasRevisionFallen
  }), { seed: 4, numRuns: 40 })
  t.pass()
})

test.serial('a dead endpoint gets no new requests after 3 s, even when its registrar dies with it and the store is unavailable', async t => {
  const { clock, fleet } = await startFleet(t)
  const registrar = fleet.running.find(one => one.node.isRegistrar && one.layout.failureDomain === 'n2')
  const deadAgent = fleet.getProcess('n2-a2')
  const entries = listEntries(fleet).filter(entry => entry !== registrar)
  fleet.setStoreDown(true)
  if (registrar !== undefined) fleet.kill(registrar.id)
  fleet.kill(deadAgent.id)
  await clock.tickAsync(FAILURE_DETECTION_MS)
  t.deepEqual(entries.filter(entry => isListedAlive(entry, deadAgent)).map(entry => entry.id), [])
})

test.serial('a leaving endpoint gets no new requests after 2 s when the store has been unavailable for longer than the leases', async t => {
  const { clock, fleet } = await startFleet(t)
  fleet.setStoreDown(true)
  await clock.tickAsync(60_000)
  const leaving = fleet.getProcess('n2-a1')
  leaving.board.set('isLeaving', true)
  void leaving.node.leave()
  await clock.tickAsync(LEAVE_DETECTION_MS)
  t.deepEqual(listEntries(fleet).filter(entry => isListedAlive(entry, leaving)).map(entry => entry.id), [])
})

test.serial('an endpoint that starts while the store is unavailable gets requests and the configuration in force', async t => {
  const { clock, fleet } = await startFleet(t)
  fleet.acceptConfiguration('n1-e0', 1)
  await clock.tickAsync(1_000)
  fleet.setStoreDown(true)
  await clock.tickAsync(60_000)
  fleet.start('n2-a9', LAYOUTS[1])
  await clock.tickAsync(5_000)
  t.is(fleet.getProcess('n2-a9').node.holder.revision, 1)
  t.true(listEntries(fleet).filter(entry => entry.layout.region === 'north').every(entry => isListedAlive(entry, fleet.getProcess('n2-a9'))))
})

test.serial('an unreachable failure domain gets no requests after 3 s, and gets them again once it is reachable', async t => {
  const { clock, fleet } = await startFleet(t)
  const members = fleet.running.filter(one => one.layout.failureDomain === 'n2')
  for (const member of members) fleet.peers.setPeerDown(member.address, true)
  await clock.tickAsync(FAILURE_DETECTION_MS)
  const others = listEntries(fleet).filter(entry => entry.layout.failureDomain !== 'n2')
  t.deepEqual(others.filter(entry => members.some(one => isListedAlive(entry, one))).map(entry => entry.id), [])
  for (const member of members) fleet.peers.setPeerDown(member.address, false)
  await clock.tickAsync(CONVERGENCE_MS)
  t.true(others.every(entry => members.every(one => isListedAlive(entry, one))))
})

test.serial('after regions were partitioned for an hour, all processes list each other and have the latest revision again', async t => {
  const { clock, fleet } = await startFleet(t)
  fleet.setRegionsPartitioned(true)
  await clock.tickAsync(1_800_000)
  fleet.acceptConfiguration('n1-e0', 1)
  fleet.kill('s1-a0')
  fleet.start('s1-a0')
  await clock.tickAsync(1_800_000)
  fleet.setRegionsPartitioned(false)
  await clock.tickAsync(CONVERGENCE_MS)
  t.true(isConverged(fleet, 1))
})

test.serial('a new process at the address of a dead one is a separate member', async t => {
  const { clock, fleet } = await startFleet(t)
  const old = fleet.getProcess('n2-a1')
  fleet.kill(old.id)
  fleet.start('n2-a9', LAYOUTS[1], old.address)
  await clock.tickAsync(CONVERGENCE_MS)
  t.true(listEntries(fleet).every(entry => isListedAlive(entry, fleet.getProcess('n2-a9')) && !isListedAlive(entry, old)))
})

test.serial('only one copy of a configuration is sent to the other region', async t => {
  const { clock, fleet } = await startFleet(t)
  const before = fleet.linkBytes
  fleet.acceptConfiguration('n1-e0', 1)
  const size = JSON.stringify(fleet.getProcess('n1-e0').board.get('configuration')).length
  await clock.tickAsync(200)
  t.true(fleet.running.every(one => one.node.holder.revision === 1))
  t.true(fleet.linkBytes - before < 2 * size, `${fleet.linkBytes - before} bytes for ${size}`)
})
