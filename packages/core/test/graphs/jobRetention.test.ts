/**
 * When the planner forgets a job that has ended.
 */
import { GraphPlanner, JobPhase } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { TIMES, makeQueue, makeStep } from './plannerHarness.js'

test('a job whose end could not be stored during an outage longer than its retention is not forgotten, so that it is not shown as running for ever', t => {
  let now = 1_000
  const planner = new GraphPlanner({ times: TIMES, getWallTime: () => now, log: { note: () => {} } })
  planner.addJob({ id: 'a', organisation: 'o', queue: makeQueue({}), payload: '', steps: [makeStep()], acceptedAt: now }, undefined, now)
  planner.cancelJob('a', now)
  now += TIMES.retentionMs + 1_000
  t.deepEqual(planner.removeExpiredJobs(now), [])
  const [changed] = planner.listChangedJobs()
  t.like(changed, { jobId: 'a', phase: JobPhase.cancelled })
  planner.recordJobStored('a', changed?.version ?? 0)
  t.deepEqual(planner.removeExpiredJobs(now), ['a'])
})
