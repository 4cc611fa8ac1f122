/**
 * Membership and configuration of a whole fleet over the fakes, under random faults.
 */
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'

import { MemoryFleet } from '../../src/fleet/memoryFleet.js'
import type { MemoryProcess } from '../../src/fleet/memoryFleet.js'

const PLACES = [
  { region: 'north', failureDomain: 'n1', entries: 1, agents: 4 },
  { region: 'north', failureDomain: 'n2', entries: 1, agents: 4 },
  { region: 'south', failureDomain: 's1', entries: 1, agents: 4 }
]
const CONVERGENCE_MS = 12_000
const DEAD_MS = 3_000
const LEAVING_MS = 2_000

function installClock (t: ExecutionContext): Clock {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  t.teardown(() => clock.uninstall())
  return clock
}

async function startFleet (t: ExecutionContext, seed = 1): Promise<{ clock: Clock, fleet: MemoryFleet }> {
  const clock = installClock(t)
  const fleet = new MemoryFleet(PLACES, seed)
  fleet.startAll()
  await clock.tickAsync(8_000)
  return { clock, fleet }
}

function listEntries (fleet: MemoryFleet): MemoryProcess[] {
  return fleet.running.filter(one => one.id.includes('-e'))
}

function isSeeing (entry: MemoryProcess, target: MemoryProcess): boolean {
  const member = entry.board.get('members').get(target.id)?.member
  return member?.incarnation === target.incarnation && member.state === 'alive'
}

function isConverged (fleet: MemoryFleet, revision: number): boolean {
  const isInForce = fleet.running.every(one => one.node.holder.revision === revision)
  return isInForce && listEntries(fleet).every(entry => entry.board.get('members').size === fleet.running.length && fleet.running.every(one => isSeeing(entry, one)))
}

const who = fc.integer({ min: 0, max: 14 })
const step = fc.oneof(
  fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 100, max: 4_000 }) }),
  fc.record({ kind: fc.constant('accept' as const), who }),
  fc.record({ kind: fc.constant('kill' as const), who }),
  fc.record({ kind: fc.constant('stop' as const), who }),
  fc.record({ kind: fc.constant('start' as const), who }),
  fc.record({ kind: fc.constant('restart' as const), who }),
  fc.record({ kind: fc.constant('store' as const), isDown: fc.boolean() }),
  fc.record({ kind: fc.constant('cut' as const), isCut: fc.boolean() }),
  fc.record({ kind: fc.constant('loseAnswer' as const), who }),
  fc.record({ kind: fc.constant('skipWatch' as const), who, isSkipping: fc.boolean() })
)

test.serial('revisions in force never fall, accepted ones are never lost, and all converge once the faults end', async t => {
  const clock = installClock(t)
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 30 }), fc.integer({ min: 1, max: 1_000_000 }), async (steps, seed) => {
    const fleet = new MemoryFleet(PLACES, seed)
    fleet.startAll()
    await clock.tickAsync(6_000)
    const ids = [...fleet.processes.keys()]
    const seen = new Map<string, number>()
    let accepted = 0
    let hasFallen = false
    const advance = async (ms: number): Promise<void> => {
      for (let passed = 0; passed < ms; passed += 250) {
        await clock.tickAsync(Math.min(250, ms - passed))
        for (const { incarnation, node } of fleet.running) {
          hasFallen ||= node.holder.revision < (seen.get(incarnation) ?? 0)
          seen.set(incarnation, node.holder.revision)
        }
      }
    }
    for (const one of steps) {
      const id = 'who' in one ? ids[one.who] ?? '' : ''
      const isRunning = id !== '' && fleet.get(id).isRunning
      if (one.kind === 'wait') await advance(one.ms)
      if (one.kind === 'accept' && isRunning && fleet.accept(id, accepted + 1)) accepted++
      if (one.kind === 'kill' && isRunning) fleet.kill(id)
      if (one.kind === 'stop' && isRunning) void fleet.stop(id)
      if (one.kind === 'start' && !isRunning) fleet.start(id)
      if (one.kind === 'restart' && isRunning) {
        fleet.kill(id)
        fleet.start(id)
      }
      if (one.kind === 'store') fleet.setStoreDown(one.isDown)
      if (one.kind === 'cut') fleet.setCut(one.isCut)
      if (one.kind === 'loseAnswer') fleet.get(id).memory.faults.loseAnswers++
      if (one.kind === 'skipWatch') fleet.get(id).memory.faults.skipWatchEvents = one.isSkipping
      await advance(100)
    }
    await advance(4_000)
    fleet.setStoreDown(false)
    fleet.setCut(false)
    for (const one of fleet.running) one.memory.faults.skipWatchEvents = false
    for (const id of ids) if (!fleet.get(id).isRunning) fleet.start(id)
    await advance(CONVERGENCE_MS)
    const isDone = isConverged(fleet, accepted)
    const closing = fleet.close()
    await clock.tickAsync(5_000)
    await closing
    return isDone && !hasFallen
  }), { seed: 4, numRuns: 40 })
  t.pass()
})

test.serial('a dead endpoint gets no new requests after 3 s, also when its registrar dies with it and the store is away', async t => {
  const { clock, fleet } = await startFleet(t)
  const registrar = fleet.running.find(one => one.node.isRegistrar && one.place.failureDomain === 'n2')
  const victim = fleet.get('n2-a2')
  const entries = listEntries(fleet).filter(entry => entry !== registrar)
  fleet.setStoreDown(true)
  if (registrar !== undefined) fleet.kill(registrar.id)
  fleet.kill(victim.id)
  await clock.tickAsync(DEAD_MS)
  t.deepEqual(entries.filter(entry => isSeeing(entry, victim)).map(entry => entry.id), [])
})

test.serial('a leaving endpoint gets no new requests after 2 s with the store away for longer than the leases', async t => {
  const { clock, fleet } = await startFleet(t)
  fleet.setStoreDown(true)
  await clock.tickAsync(60_000)
  const leaving = fleet.get('n2-a1')
  leaving.board.set('isLeaving', true)
  void leaving.node.leave()
  await clock.tickAsync(LEAVING_MS)
  t.deepEqual(listEntries(fleet).filter(entry => isSeeing(entry, leaving)).map(entry => entry.id), [])
})

test.serial('an endpoint that starts while the store is away gets requests and the configuration in force', async t => {
  const { clock, fleet } = await startFleet(t)
  fleet.accept('n1-e0', 1)
  await clock.tickAsync(1_000)
  fleet.setStoreDown(true)
  await clock.tickAsync(60_000)
  fleet.start('n2-a9', PLACES[1])
  await clock.tickAsync(5_000)
  t.is(fleet.get('n2-a9').node.holder.revision, 1)
  t.true(listEntries(fleet).filter(entry => entry.place.region === 'north').every(entry => isSeeing(entry, fleet.get('n2-a9'))))
})

test.serial('a failure domain that is away gets no requests after 3 s, and again once it is back', async t => {
  const { clock, fleet } = await startFleet(t)
  const members = fleet.running.filter(one => one.place.failureDomain === 'n2')
  for (const one of members) fleet.peers.setDown(one.address, true)
  await clock.tickAsync(DEAD_MS)
  const others = listEntries(fleet).filter(entry => entry.place.failureDomain !== 'n2')
  t.deepEqual(others.filter(entry => members.some(one => isSeeing(entry, one))).map(entry => entry.id), [])
  for (const one of members) fleet.peers.setDown(one.address, false)
  await clock.tickAsync(CONVERGENCE_MS)
  t.true(others.every(entry => members.every(one => isSeeing(entry, one))))
})

test.serial('after an hour without the other region all see each other and the newest revision again', async t => {
  const { clock, fleet } = await startFleet(t)
  fleet.setCut(true)
  await clock.tickAsync(1_800_000)
  fleet.accept('n1-e0', 1)
  fleet.kill('s1-a0')
  fleet.start('s1-a0')
  await clock.tickAsync(1_800_000)
  fleet.setCut(false)
  await clock.tickAsync(CONVERGENCE_MS)
  t.true(isConverged(fleet, 1))
})

test.serial('a new process at the address of a dead one is a member of its own', async t => {
  const { clock, fleet } = await startFleet(t)
  const old = fleet.get('n2-a1')
  fleet.kill(old.id)
  fleet.start('n2-a9', PLACES[1], old.address)
  await clock.tickAsync(CONVERGENCE_MS)
  t.true(listEntries(fleet).every(entry => isSeeing(entry, fleet.get('n2-a9')) && !isSeeing(entry, old)))
})

test.serial('one copy of a configuration crosses into the other region', async t => {
  const { clock, fleet } = await startFleet(t)
  const before = fleet.linkBytes
  fleet.accept('n1-e0', 1)
  const size = JSON.stringify(fleet.get('n1-e0').board.get('configuration')).length
  await clock.tickAsync(200)
  t.true(fleet.running.every(one => one.node.holder.revision === 1))
  t.true(fleet.linkBytes - before < 2 * size, `${fleet.linkBytes - before} bytes for ${size}`)
})
