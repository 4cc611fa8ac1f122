/**
 * Guards against LOST of review case 14: a record that the store refused for its size was written again without end, in front of the records of all other jobs.
 */
import { MAX_KEYS_PER_TRANSACTION } from '@dragonflylever/adapters'
import type { TransactOutcome, Transaction } from '@dragonflylever/adapters'
import { decodeJobSpec, encodeJobSpec } from '@dragonflylever/daemon/jobPlanner/jobSpecRecord'
import { ProgressBatches } from '@dragonflylever/daemon/jobPlanner/progressBatches'
import { MemoryStore } from '@dragonflylever/standins'
import test from 'ava'

import { KEYS } from '../graphs/graphNode.js'
import { makeQueue, makeStep } from '../graphs/graphSimulation.js'
import { createWriterFixture, makeChangedJob } from './progressWriterFixture.js'

const MAX_VALUE_BYTES = 1_048_576
/** Size above which the store of these tests refuses a value, in bytes; so small that several jobs share a transaction with one that it refuses. */
const MAX_STORED_BYTES = 64 * 1024

/** A store that refuses transactions with a value that is too large, and counts them. */
class LimitedStore extends MemoryStore {
  refusals = 0

  override async transact (transaction: Transaction): Promise<TransactOutcome> {
    if (!transaction.puts.some(({ value }) => value.length > MAX_STORED_BYTES)) return super.transact(transaction)
    this.refusals++
    return { kind: 'rejected', message: 'the store answered 400: too large' }
  }
}

test.serial('a record that the store refuses holds up no other job, is tried again ever more rarely, and is stored once it is smaller', async t => {
  const store = new LimitedStore()
  const { clock, changed, fences, writer } = createWriterFixture(t, store)
  changed.set('large', 'x'.repeat(MAX_STORED_BYTES + 1))
  for (let job = 0; job < 5; job++) changed.set(`job-${job}`, 'progress')
  writer.flush()
  await clock.tickAsync(500)
  t.deepEqual([...changed.keys()], ['large'])
  await clock.tickAsync(120_000)
  t.true(store.refusals < 12, `${store.refusals} refusals`)
  changed.set('large', 'progress')
  await clock.tickAsync(70_000)
  t.is(store.engine.get(KEYS.getProgressKey('large'))?.value, 'progress')
  t.deepEqual(fences, [])
})

test('jobs take turns when they don\'t fit into one transaction, and a job with many changed parts leaves room for others', t => {
  const batches = new ProgressBatches()
  const parts = Array.from({ length: 60 }, (_, index) => `0.${index}`)
  const jobs = [makeChangedJob('large', ['', ...parts]), ...Array.from({ length: 25 }, (_, index) => makeChangedJob(`job-${index}`, ['']))]
  const written = new Set<string>()
  for (let turn = 0; turn < 4; turn++) {
    const batch = batches.select(jobs, () => 'progress', turn)
    const keys = batch.reduce((sum, { records, removedParts }) => sum + 1 + 2 * records.size + removedParts.length, 1)
    t.true(keys <= MAX_KEYS_PER_TRANSACTION)
    t.true(batch.every(({ records }) => records.size <= 4))
    for (const { job } of batch) written.add(job.jobId)
    batches.recordStored(batch)
  }
  t.is(written.size, jobs.length)
})

for (const [title, steps] of [
  ['a chain of 6,000 steps', Array.from({ length: 6_000 }, (_, index) => makeStep({ accelerators: 0, memoryMb: 0, after: index === 0 ? [] : [index - 1], ...(index === 0 ? { requiredLabel: 'none' } : {}) }))],
  ['4,400 steps that all differ', Array.from({ length: 4_400 }, (_, index) => makeStep({ cpuMillis: index, estimatedMs: index }))],
  ['a few steps', [makeStep(), makeStep({ after: [0], isGang: true, image: 'i', dataRack: 'r' })]]
] as const) {
  test(`the spec of a job is stored within a value of the store and read as it was: ${title}`, t => {
    const graph = { id: 'a', organisation: 'o', queue: makeQueue(1), payload: 'p'.repeat(4_000), steps, acceptedAt: 1 }
    const { host, prefix, isOpen, ...queue } = graph.queue
    const text = encodeJobSpec({ ...graph, queue })
    t.true(Buffer.byteLength(text) < MAX_VALUE_BYTES / 2)
    t.deepEqual(decodeJobSpec(text), { ...graph, queue })
  })
}

test('a stored spec that names no kind of a step, or one that does not exist, is not read', t => {
  const graph = { id: 'a', organisation: 'o', queue: makeQueue(1), payload: '', steps: Array.from({ length: 20 }, () => makeStep()), acceptedAt: 1 }
  const record = JSON.parse(encodeJobSpec(graph)) as { steps: number[][] }
  for (const step of [[1, 1], [0], [0, -1], [0, 1, 0.5]]) t.is(decodeJobSpec(JSON.stringify({ ...record, steps: [step, ...record.steps.slice(1)] })), undefined)
})
