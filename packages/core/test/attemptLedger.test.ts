/**
 * What an agent vouches for once its memory of attempts is full.
 */
import test from 'ava'

import { AttemptLedger, RetryBudget } from '../src/index.js'

const KEEP_MS = 1_000

test('a full ledger takes new attempts in the place of finished ones and vouches for nobody it may have forgotten', t => {
  const ledger = new AttemptLedger({ maxEntries: 2, keepMs: KEEP_MS })
  for (const attemptId of ['a', 'b', 'c']) {
    t.is(ledger.accept(attemptId, 0), 'accepted')
    ledger.start(attemptId)
    ledger.finish(attemptId, 0)
  }
  t.is(ledger.withdraw('a', KEEP_MS - 1), 'cannotVouch')
  t.is(ledger.withdraw('c', KEEP_MS - 1), 'started')
  t.is(ledger.withdraw('d', KEEP_MS), 'neverStarted')
})

test('a full ledger forgets neither a running attempt nor a withdrawn one', t => {
  const ledger = new AttemptLedger({ maxEntries: 2, keepMs: KEEP_MS })
  ledger.accept('running', 0)
  ledger.start('running')
  ledger.withdraw('withdrawn', 0)
  t.is(ledger.accept('new', 1), 'full')
  t.is(ledger.accept('withdrawn', 1), 'withdrawn')
})

test('retries are a share of requests, whatever their burst', t => {
  const budget = new RetryBudget({ retriesPerRequest: 0.1, maxSaved: 5 })
  let retries = 0
  for (let index = 0; index < 1_000; index++) {
    budget.note()
    for (let attempt = 0; attempt < 4; attempt++) if (budget.take()) retries++
  }
  t.true(retries <= 105 && retries >= 100, `${retries} retries`)
})
