/**
 * Case 1 of the review on the entry's own path: a job that was refused with 503, which promises that it never runs, ran after all. Here several calls submit one job
 * at the same time, and the store leaves some of their writes unanswered.
 */
import type { TransactOutcome, Transaction } from '@dragonflylever/adapters'
import { SeededRandom } from '@dragonflylever/core'
import { PolicyIndex } from '@dragonflylever/core/graphs/index'
import { JobEntryHandler } from '@dragonflylever/daemon/jobEntry/jobEntryHandler'
import { JobStates } from '@dragonflylever/daemon/jobEntry/jobStates'
import { decodeJobSpec } from '@dragonflylever/daemon/jobPlanner/graphKeys'
import { NoMetrics, createLogger } from '@dragonflylever/runtime'
import { MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'

import { KEYS } from '../graphs/graphNode.js'
import { JOB_ID, POLICY, makeSubmission } from './entryFixture.js'

/** Longest time after which the store carries out a write that it left unanswered, in milliseconds. */
const MAX_LATE_MS = 6_000
const SETTLED_MS = 30_000
const FATES = ['served', 'rejected', 'lost', 'carriedOutAndLost', 'carriedOutLate'] as const

/** What becomes of a write, and when its caller learns of it. */
interface Fate {
  readonly kind: typeof FATES[number]
  readonly answerMs: number
  readonly lateMs: number
}

/** A store whose writes have drawn fates, in turn. */
class FatefulStore extends MemoryStore {
  private readonly _fates: readonly Fate[]
  private _count = 0

  constructor (fates: readonly Fate[]) {
    super()
    this._fates = fates
  }

  override async transact (transaction: Transaction): Promise<TransactOutcome> {
    const { kind, answerMs, lateMs } = this._fates[this._count++ % this._fates.length] ?? { kind: 'served', answerMs: 0, lateMs: 0 }
    const result = kind === 'served' || kind === 'carriedOutAndLost' ? this.engine.transact(transaction) : undefined
    if (kind === 'carriedOutLate') setTimeout(() => { this.engine.transact(transaction) }, lateMs)
    await new Promise(resolve => setTimeout(resolve, answerMs))
    if (kind === 'rejected') return { kind: 'unavailable', message: 'rejected' }
    return kind === 'served' && result !== undefined ? result : { kind: 'ambiguous', message: 'the answer was lost' }
  }
}

const fate = fc.record({ kind: fc.constantFrom(...FATES), answerMs: fc.integer({ min: 0, max: 1_200 }), lateMs: fc.integer({ min: 0, max: MAX_LATE_MS }) })

test.serial('a job that was refused while another call for it was undecided does not run', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  const logger = createLogger({ level: 'silent', processId: 't' })
  const index = new PolicyIndex(POLICY)
  const pausesMs = fc.array(fc.integer({ min: 1, max: 2_000 }), { minLength: 1, maxLength: 5 })
  await fc.assert(fc.asyncProperty(fc.array(fate, { minLength: 1, maxLength: 8 }), pausesMs, async (fates, pauses) => {
    const store = new FatefulStore(fates)
    const handler = new JobEntryHandler({ store, keys: KEYS, states: new JobStates({ store, keys: KEYS, logger }), logger, metrics: new NoMetrics(), random: new SeededRandom(1), getPolicy: () => index })
    const refusedAt: number[] = []
    for (const pauseMs of pauses) {
      const { call, draft } = makeSubmission()
      void handler.submit(call, draft).then(answer => {
        if (answer.kind === 'refused') refusedAt.push(Date.now())
        if (answer.kind === 'accepted') t.truthy(store.engine.get(KEYS.getSpecKey(JOB_ID)))
      })
      await clock.tickAsync(pauseMs)
    }
    await clock.tickAsync(SETTLED_MS)
    const spec = decodeJobSpec(store.engine.get(KEYS.getSpecKey(JOB_ID))?.value ?? '')
    // A call that came after the refusal may have handed the job in again.
    if (spec !== undefined) t.false(refusedAt.some(at => spec.acceptedAt <= at), `stored by the call of ${spec.acceptedAt}, refused at ${refusedAt.join(', ')}`)
  }), { seed: 34, numRuns: 1_000, endOnFailure: true })
})
