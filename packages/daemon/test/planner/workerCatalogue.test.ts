/**
 * Absent workers in a planner's catalogue, and the delay before a job that does not fit on the fleet is failed.
 */
import test from 'ava'

import { NEVER_FITS_DEBOUNCE_MS, NeverFitsDebouncer } from '../../src/planner/neverFitsDebouncer.js'
import { WorkerCatalogue } from '../../src/planner/workerCatalogue.js'
import type { PlannedWorker } from '../../src/index.js'

function makeWorker (id: string, incarnation = 'first'): PlannedWorker {
  return { id, incarnation, rack: 'r', failureDomain: 'd', region: 'g', accelerators: 8, cores: 8, memoryGb: 8, state: 'ready', address: '' }
}

test('an absent worker still counts towards the fleet\'s capacity and is marked as lost', t => {
  const catalogue = new WorkerCatalogue()
  catalogue.update([makeWorker('a'), makeWorker('b')], 0)
  const { lost } = catalogue.update([makeWorker('a')], 1_000)
  t.deepEqual(lost.map(worker => worker.id), ['b'])
  t.deepEqual(catalogue.list().map(worker => [worker.id, worker.state]), [['a', 'ready'], ['b', 'lost']])
})

test('a worker whose agent restarted is listed both as lost and as joined', t => {
  const catalogue = new WorkerCatalogue()
  catalogue.update([makeWorker('a')], 0)
  const { lost, joined } = catalogue.update([makeWorker('a', 'second')], 1)
  t.is(lost.length, 1)
  t.is(joined.length, 1)
  t.deepEqual(catalogue.list().map(worker => worker.state), ['ready'])
})

test('a job may be failed only if it has not fitted in any pass for the debounce time', t => {
  const debouncer = new NeverFitsDebouncer()
  t.is(debouncer.update(['job'], 0).size, 0)
  t.is(debouncer.update([], NEVER_FITS_DEBOUNCE_MS - 1).size, 0)
  t.is(debouncer.update(['job'], NEVER_FITS_DEBOUNCE_MS).size, 0)
  t.is(debouncer.update(['job'], 2 * NEVER_FITS_DEBOUNCE_MS).size, 1)
})
