/**
 * How soon a new process becomes the planner after a crash: immediately with the same name and address, otherwise only after the old lease
 * has expired.
 */
import { MemoryPeers, MemoryStore, StoreEngine } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'

import { createCandidate } from './candidateFixture.js'

for (const [title, name, address, isTakenAtOnce] of [
  ['a process that restarts on the same host regains leadership immediately', 'a', 'a:1', true],
  ['a process with the same name at another address becomes the planner only after the lease has expired', 'a', 'b:1', false],
  ['a process with another name becomes the planner only after the lease has expired', 'b', 'a:1', false]
] as const) {
  test.serial(title, async t => {
    const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
    t.teardown(() => clock.uninstall())
    const engine = new StoreEngine()
    const peers = new MemoryPeers()
    const memory = new MemoryStore({ engine })
    const killed = createCandidate(memory, peers, 'a', 'a:1')
    await killed.open(peers.open('a:1'))
    await clock.tickAsync(1_000)
    t.truthy(killed.session)
    const firstEpoch = killed.planner?.epoch ?? 0
    memory.faults.isDown = true
    const next = createCandidate(new MemoryStore({ engine }), peers, name, address)
    await next.open(peers.open(address))
    await clock.tickAsync(300)
    t.is(next.session !== undefined, isTakenAtOnce)
    if (isTakenAtOnce) t.true((next.planner?.epoch ?? 0) > firstEpoch)
    await clock.tickAsync(5_000)
    engine.expireLeases()
    await clock.tickAsync(1_000)
    t.truthy(next.session)
    void killed.close()
    void next.close()
    await clock.tickAsync(2_000)
  })
}
