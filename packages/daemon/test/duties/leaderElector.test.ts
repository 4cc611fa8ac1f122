/**
 * Leader election by leases: there is at most one leader, with growing epochs, despite store outages, lost answers and paused processes.
 */
import { EpochFence, SeededRandom } from '@dragonflylever/core'
import { LeaderElector } from '@dragonflylever/daemon'
import { StoreClient } from '@dragonflylever/adapters'
import { createLogger } from '@dragonflylever/runtime'
import { MemoryStore, StoreEngine } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'

const CANDIDATES = 3
const LOGGER = createLogger({ level: 'silent', processId: 'test' })

interface Candidate {
  readonly memory: MemoryStore
  duty: LeaderElector
}

function createElector (memory: MemoryStore, holder: string): LeaderElector {
  const store = new StoreClient({ store: memory, random: new SeededRandom(1), callTimeoutMs: 3_000, ratePerS: 1_000 })
  return new LeaderElector({ store, prefix: 'p', duty: 'registrar/a', holder, getAddress: () => holder, logger: LOGGER, onLost: () => {} })
}

function createCandidates (engine: StoreEngine): Candidate[] {
  return Array.from({ length: CANDIDATES }, (_, index) => {
    const memory = new MemoryStore({ engine })
    return { memory, duty: createElector(memory, `p${index}`) }
  })
}

const candidateIndex = fc.integer({ min: 0, max: CANDIDATES - 1 })
const step = fc.oneof(
  fc.record({ kind: fc.constant('advance' as const), ms: fc.integer({ min: 1, max: 4_000 }) }),
  fc.record({ kind: fc.constant('acquire' as const), candidateIndex }),
  fc.record({ kind: fc.constant('delay' as const), candidateIndex, ms: fc.constantFrom(0, 500, 2_000) }),
  fc.record({ kind: fc.constant('answerDelay' as const), candidateIndex, ms: fc.constantFrom(0, 500, 2_000) }),
  fc.record({ kind: fc.constant('down' as const), candidateIndex, isDown: fc.boolean() }),
  fc.record({ kind: fc.constant('loseAnswer' as const), candidateIndex }),
  fc.record({ kind: fc.constant('release' as const), candidateIndex })
)

test.serial('at most one process is the leader at any moment, and epochs grow with each new leader', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  t.teardown(() => clock.uninstall())
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 80 }), async steps => {
    const engine = new StoreEngine()
    const candidates = createCandidates(engine)
    const fence = new EpochFence()
    let isExclusive = true
    const check = (): void => {
      const epochs = candidates.map(candidate => candidate.duty.epoch).filter(epoch => epoch !== undefined)
      isExclusive &&= epochs.length <= 1 && epochs.every(epoch => fence.acceptEpoch('registrar/a', epoch))
    }
    for (const action of steps) {
      const candidate = candidates[action.kind === 'advance' ? 0 : action.candidateIndex] as Candidate
      if (action.kind === 'acquire') void candidate.duty.tryAcquire()
      if (action.kind === 'delay') candidate.memory.faults.delayMs = action.ms
      if (action.kind === 'answerDelay') candidate.memory.faults.answerDelayMs = action.ms
      if (action.kind === 'down') candidate.memory.faults.isDown = action.isDown
      if (action.kind === 'loseAnswer') candidate.memory.faults.loseAnswers++
      if (action.kind === 'release') {
        void candidate.duty.release()
        candidate.duty = createElector(candidate.memory, `p${action.candidateIndex}`)
      }
      const end = performance.now() + (action.kind === 'advance' ? action.ms : 1)
      while (performance.now() < end) {
        await clock.tickAsync(Math.min(100, end - performance.now()))
        check()
        if (action.kind === 'advance') for (const { duty } of candidates) void duty.tryAcquire()
      }
    }
    for (const { duty, memory } of candidates) {
      Object.assign(memory.faults, { isDown: false, delayMs: 0, answerDelayMs: 0 })
      void duty.release()
    }
    await clock.tickAsync(20_000)
    return isExclusive
  }), { seed: 4, numRuns: 300 })
  t.pass()
})

test.serial('a leader resumed after a pause longer than its lease is no longer the leader, even before any of its timers runs', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  t.teardown(() => clock.uninstall())
  const engine = new StoreEngine()
  const [first, second] = createCandidates(engine)
  if (first === undefined || second === undefined) return t.fail('no candidates')
  const taken = await first.duty.tryAcquire()
  t.is(taken.kind, 'held')
  clock.jump(30_000)
  t.is(first.duty.epoch, undefined)
  const next = await second.duty.tryAcquire()
  t.true(next.kind === 'held' && taken.kind === 'held' && next.epoch > taken.epoch)
  t.is((await first.duty.tryAcquire()).kind, 'other')
})

test.serial('a lease renewed by a call with a delayed answer is valid from before the call, so it ends before another process becomes leader', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  t.teardown(() => clock.uninstall())
  const [first, second] = createCandidates(new StoreEngine())
  if (first === undefined || second === undefined) return t.fail('no candidates')
  await first.duty.tryAcquire()
  first.memory.faults.answerDelayMs = 2_200
  await clock.tickAsync(1_600)
  first.memory.faults.isDown = true
  await clock.tickAsync(5_000)
  t.is((await second.duty.tryAcquire()).kind, 'held')
  t.is(first.duty.epoch, undefined)
})
