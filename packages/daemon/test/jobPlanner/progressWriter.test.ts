/**
 * Case 2 of the review: completed jobs ran again, since a planner that did not know their progress wrote over the stored records.
 */
import type { TransactOutcome, Transaction } from '@dragonflylever/adapters'
import { MemoryStore } from '@dragonflylever/standins'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { KEYS } from '../graphs/graphNode.js'
import { createWriterFixture } from './progressWriterFixture.js'
import type { WriterFixture } from './progressWriterFixture.js'

const JOB = 'a'

/** A store that carries each write out at its first attempt, loses the answer, and answers a second attempt of the same call, as calls through an agent do. */
class RepeatingStore extends MemoryStore {
  isRepeating = false

  override async transact (transaction: Transaction): Promise<TransactOutcome> {
    if (this.isRepeating) this.engine.transact(transaction)
    return super.transact(transaction)
  }
}

interface Fixture extends WriterFixture {
  readonly store: RepeatingStore
  /** Changes the job and lets the writer store it. */
  readonly write: (record: string) => Promise<void>
}

function createFixture (t: ExecutionContext): Fixture {
  const store = new RepeatingStore()
  const fixture = createWriterFixture(t, store)
  const write = async (record: string): Promise<void> => {
    fixture.changed.set(JOB, record)
    fixture.writer.flush()
    await fixture.clock.tickAsync(500)
  }
  return { ...fixture, store, write }
}

function putProgress (store: MemoryStore, value: string): void {
  store.engine.put({ key: KEYS.getProgressKey(JOB), value, expect: { kind: 'any' } })
}

function readProgress (store: MemoryStore): string | undefined {
  return store.engine.get(KEYS.getProgressKey(JOB))?.value
}

test.serial('a stored progress record that the planner has not read is not overwritten; the planner gives up leadership and the next one reads it', async t => {
  const { store, fences, durable, write } = createFixture(t)
  putProgress(store, 'runs that this planner does not know')
  await write('from the beginning')
  t.is(readProgress(store), 'runs that this planner does not know')
  t.deepEqual(durable, [])
  t.is(fences.length, 1)
})

test.serial('a record that has changed since this planner wrote it is not overwritten either', async t => {
  const { store, fences, write } = createFixture(t)
  await write('first')
  putProgress(store, 'of another writer')
  await write('second')
  t.is(readProgress(store), 'of another writer')
  t.is(fences.length, 1)
})

test.serial('after writes of this planner whose answers were lost, it goes on with the record that the store holds', async t => {
  const { store, fences, durable, write } = createFixture(t)
  store.faults.loseAnswers = 3
  await write('first')
  await write('second')
  t.is(readProgress(store), 'second')
  t.deepEqual(durable, ['first', 'second'])
  t.deepEqual(fences, [])
})

test.serial('a write whose first attempt was carried out unanswered and whose second one conflicts with it does not end the session', async t => {
  const { store, fences, durable, write } = createFixture(t)
  store.isRepeating = true
  await write('first')
  await write('second')
  t.is(readProgress(store), 'second')
  t.deepEqual(fences, [])
  store.isRepeating = false
  await write('third')
  t.is(readProgress(store), 'third')
  t.is(durable.at(-1), 'third')
})

test.serial('a large job whose removal is interrupted keeps its spec, by which a later planner finds the records that are left', async t => {
  const { store, writer } = createFixture(t)
  const parts = Array.from({ length: 29 }, (_, index) => `0.${index}`)
  for (const key of [KEYS.getSpecKey(JOB), KEYS.getProgressKey(JOB), ...parts.map(part => KEYS.getProgressKey(JOB, part))]) store.engine.put({ key, value: 'x', expect: { kind: 'absent' } })
  for (const part of ['', ...parts]) writer.recordStoredProgress(JOB, 1, 'completed', part)
  const { transact } = store
  let calls = 0
  store.transact = transaction => ++calls === 2 ? Promise.resolve({ kind: 'unavailable', message: 'interrupted' }) : transact.call(store, transaction)
  t.deepEqual(await writer.remove([JOB]), [])
  t.not(store.engine.get(KEYS.getSpecKey(JOB)), undefined)
  t.deepEqual(await writer.remove([JOB]), [JOB])
  t.deepEqual(store.engine.list(KEYS.progress), [])
  t.is(store.engine.get(KEYS.getSpecKey(JOB)), undefined)
})
