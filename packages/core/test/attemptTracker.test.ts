/**
 * Tests the limits of the retry budget and of the attempt tracker. A full tracker may have evicted an attempt that has run, and must not
 * confirm such an attempt as never started.
 */
import test from 'ava'

import { AttemptTracker, RetryBudget } from '../src/index.js'

const RETENTION_MS = 1_000

test('a full tracker evicts finished attempts for new ones and does not confirm as never started an attempt that may have been evicted', t => {
  const tracker = new AttemptTracker({ maxEntries: 2, retentionMs: RETENTION_MS })
  for (const attemptId of ['a', 'b', 'c']) {
    t.is(tracker.acceptDispatch(attemptId, 0), 'accepted')
    tracker.start(attemptId)
    tracker.finish(attemptId, 0)
  }
  t.is(tracker.withdraw('a', RETENTION_MS - 1), 'cannotVouch')
  t.is(tracker.withdraw('c', RETENTION_MS - 1), 'started')
  t.is(tracker.withdraw('d', RETENTION_MS), 'neverStarted')
})

test('a full tracker evicts neither running nor withdrawn attempts', t => {
  const tracker = new AttemptTracker({ maxEntries: 2, retentionMs: RETENTION_MS })
  tracker.acceptDispatch('running', 0)
  tracker.start('running')
  tracker.withdraw('withdrawn', 0)
  t.is(tracker.acceptDispatch('new', 1), 'full')
  t.is(tracker.acceptDispatch('withdrawn', 1), 'withdrawn')
})

test('retries are limited to a share of requests, however many are wanted at once', t => {
  const budget = new RetryBudget({ retriesPerRequest: 0.1, maxSaved: 5 })
  let retries = 0
  for (let index = 0; index < 1_000; index++) {
    budget.recordRequest()
    for (let attempt = 0; attempt < 4; attempt++) if (budget.takeRetry()) retries++
  }
  t.true(retries <= 105 && retries >= 100, `${retries} retries`)
})
