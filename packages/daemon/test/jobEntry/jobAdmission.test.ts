/**
 * What an entry answers to a job that would start too late: 429 only with a forecast in force, only if the job is not stored, and accepted without one.
 */
import { SeededRandom } from '@dragonflylever/core'
import { PolicyIndex } from '@dragonflylever/core/graphs/index'
import type { AdmissionForecast } from '@dragonflylever/core/graphs/index'
import { JobAdmission } from '@dragonflylever/daemon/jobEntry/jobAdmission'
import { JobEntryHandler } from '@dragonflylever/daemon/jobEntry/jobEntryHandler'
import type { JobEntryAnswer } from '@dragonflylever/daemon/jobEntry/jobEntryHandler'
import { JobStates } from '@dragonflylever/daemon/jobEntry/jobStates'
import { NoMetrics, createLogger } from '@dragonflylever/runtime'
import { MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { KEYS } from '../graphs/graphNode.js'
import { makeStep } from '../graphs/graphSimulation.js'
import { JOB_ID, POLICY, makeSubmission } from './entryFixture.js'

const HOPELESS: AdmissionForecast = {
  shapes: [{ queue: 'q', tasks: 1, cpuMillis: 0, memoryMb: 0, accelerators: 0, chainMs: 0, coreSeconds: 0, runTimeScale: 1, optimisticMs: 600_000, expectedMs: 600_000 }],
  organisations: {}
}

interface Entry {
  readonly store: MemoryStore
  readonly known: { forecast: AdmissionForecast | undefined }
  readonly submit: () => Promise<JobEntryAnswer>
  readonly advance: (ms: number) => Promise<unknown>
}

function installClock (t: ExecutionContext): Clock {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  return clock
}

function createEntry (clock: Clock, store = new MemoryStore()): Entry {
  const known: Entry['known'] = { forecast: HOPELESS }
  const logger = createLogger({ level: 'silent', processId: 't' })
  const index = new PolicyIndex(POLICY)
  const random = new SeededRandom(1)
  const handler = new JobEntryHandler({
    store,
    keys: KEYS,
    states: new JobStates({ store, keys: KEYS, logger }),
    logger,
    metrics: new NoMetrics(),
    random,
    admission: new JobAdmission({ getForecast: () => known.forecast, random }),
    getPolicy: () => index
  })
  return {
    store,
    known,
    submit: async () => {
      const answer = handler.submit(makeSubmission().call, { payload: '', steps: [makeStep()], repeat: undefined })
      await clock.tickAsync(3_000)
      return answer
    },
    advance: ms => clock.tickAsync(ms)
  }
}

test.serial('a job that would start too late is refused and not stored, and accepted once there is no forecast', async t => {
  const { store, known, submit } = createEntry(installClock(t))
  const answer = await submit()
  t.like(answer, { kind: 'refused', reason: 'tooLate' })
  t.true(answer.kind === 'refused' && answer.retryAfterMs >= 1_000 && answer.retryAfterMs % 1_000 === 0)
  t.is(store.engine.get(KEYS.getSpecKey(JOB_ID)), undefined)
  known.forecast = undefined
  t.is((await submit()).kind, 'accepted')
})

test.serial('a job that another entry has stored, or whose write here is undecided, is not refused', async t => {
  const clock = installClock(t)
  const { store, known, submit } = createEntry(clock)
  known.forecast = undefined
  store.faults.loseAnswers = Infinity
  t.is((await submit()).kind, 'undecided')
  known.forecast = HOPELESS
  t.is((await submit()).kind, 'undecided')
  store.faults.loseAnswers = 0
  t.is((await submit()).kind, 'accepted')
  t.is((await createEntry(clock, store).submit()).kind, 'accepted')
})

test.serial('while the store does not answer, a job is refused for that and not for its start', async t => {
  const { store, submit } = createEntry(installClock(t))
  store.faults.isDown = true
  t.like(await submit(), { kind: 'refused', reason: 'storeAway' })
})

test.serial('a caller who comes back as told goes before new ones; one who comes back earlier does not', async t => {
  const { known, submit, advance } = createEntry(installClock(t))
  // Between the limit of a new caller, 26 s, and that of one who came back once, 35 s; callers are told to come back after 4 to 5 s.
  known.forecast = { ...HOPELESS, shapes: HOPELESS.shapes.map(shape => ({ ...shape, optimisticMs: 30_000, expectedMs: 30_000 })) }
  t.like(await submit(), { kind: 'refused' })
  t.like(await submit(), { kind: 'refused' }, 'after 3 s')
  await advance(2_000)
  t.is((await submit()).kind, 'accepted')
})
