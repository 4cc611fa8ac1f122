/**
 * The stored record of what planners learn: its size, and what is made of records that are odd.
 */
import { decodeLearned, encodeLearned } from '@dragonflylever/daemon/jobPlanner/learnedRecord'
import test from 'ava'
import fc from 'fast-check'

import { makeLearned } from './learnedFixture.js'

const MAX_BYTES = 64 * 1024

test('a record is decoded as it was encoded', t => {
  const text = encodeLearned(makeLearned(10, 5))
  const decoded = decodeLearned(text)
  if (decoded.kind !== 'ok') return t.fail(decoded.kind)
  t.is(decoded.record.speeds.workers.length, 10)
  t.is(decoded.record.queues.length, 5)
  t.is(encodeLearned(decoded.record), text)
})

test('the record of 640 workers and 260 organisations with a queue each has at most 64 KB', t => {
  const text = encodeLearned(makeLearned(640, 260))
  t.true(Buffer.byteLength(text) <= MAX_BYTES, `${Buffer.byteLength(text)} bytes`)
  const decoded = decodeLearned(text)
  t.deepEqual(decoded.kind === 'ok' && [decoded.record.speeds.workers.length, decoded.record.queues.length], [640, 260])
})

test('a larger record leaves out what is known of queues that were not observed for the longest time', t => {
  const text = encodeLearned(makeLearned(640, 1_024))
  t.true(Buffer.byteLength(text) <= MAX_BYTES)
  const decoded = decodeLearned(text)
  if (decoded.kind !== 'ok') return t.fail(decoded.kind)
  t.is(decoded.record.speeds.workers.length, 640)
  t.is(decoded.record.queues[0]?.[0], 'team-0-reconciliation')
  t.true(decoded.record.queues.length > 260 && decoded.record.queues.length < 1_024)
})

test('a record of a later version is told from one that is unreadable', t => {
  t.is(decodeLearned('{"version":2,"other":1}').kind, 'newer')
  for (const text of ['', '{', 'null', '[]', '{"version":1}', '{"version":"2"}', encodeLearned(makeLearned(1, 1)).slice(0, -2)]) t.is(decodeLearned(text).kind, 'unreadable', text)
})

test('decoding never throws, and what it takes is bounded', t => {
  fc.assert(fc.property(fc.oneof(fc.json(), fc.string()), text => ['ok', 'newer', 'unreadable'].includes(decodeLearned(text).kind)), { seed: 1 })
  const [queue] = JSON.parse(encodeLearned(makeLearned(0, 1))).queues
  const make = (workers: unknown, queues: unknown): string => JSON.stringify({ version: 1, differ: 1, deviation: 38, workers, queues })
  t.is(decodeLearned(make([], [queue])).kind, 'ok')
  t.is(decodeLearned(make([['w', 1, 1e9, 1]], [])).kind, 'unreadable')
  t.is(decodeLearned(make([], [['q', [0, '1'], [1e9, '1'], []]])).kind, 'unreadable')
  t.is(decodeLearned(make([], [['q', [0, '1'.repeat(1_000)], [0, '1'], []]])).kind, 'unreadable')
  t.is(decodeLearned(make([], [['q', [0, '1,'], [0, '1'], []]])).kind, 'unreadable')
  t.is(decodeLearned(make([], Array(2_000).fill(queue))).kind, 'unreadable')
})
