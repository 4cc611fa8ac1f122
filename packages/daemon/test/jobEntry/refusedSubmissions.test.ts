/**
 * Case 1 of the review on the entry's own path: a job that was refused with 503, which promises that it never runs, ran after all. Here several calls submit one job
 * at the same time, and the store leaves some of their writes unanswered.
 */
import { SeededRandom } from '@dragonflylever/core'
import { PolicyIndex } from '@dragonflylever/core/graphs/index'
import { JobEntryHandler } from '@dragonflylever/daemon/jobEntry/jobEntryHandler'
import { JobStates } from '@dragonflylever/daemon/jobEntry/jobStates'
import { decodeJobSpec } from '@dragonflylever/daemon/jobPlanner/jobSpecRecord'
import { NoMetrics, createLogger } from '@dragonflylever/runtime'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'

import { KEYS } from '../graphs/graphNode.js'
import { JOB_ID, POLICY, makeSubmission } from './entryFixture.js'
import { FatefulStore, fate } from './fatefulStore.js'

const SETTLED_MS = 30_000

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
