/**
 * The tasks of progress records are checked by hand; a schema of the same format tells which records are valid.
 */
import type { JobGraph } from '@dragonflylever/core/graphs/index'
import { decodeProgress } from '@dragonflylever/daemon/jobPlanner/progressRecord'
import test from 'ava'
import fc from 'fast-check'
import * as z from 'zod'

import { makeQueue, makeStep } from '../graphs/graphSimulation.js'

const count = z.number().int().min(0)
const runSchema = z.tuple([z.number().int().min(1), z.string(), z.number().int(), z.string()])
const taskSchema = z.tuple([z.literal([0, 1]), count, count, z.string(), z.array(runSchema), z.array(z.string()), z.tuple([count, count, count]).optional()])
  .refine(([, , lastRun, , runs]) => runs.every(([number]) => number <= lastRun))

const GRAPH: JobGraph = { id: 'job', organisation: 'o', queue: makeQueue(1), payload: '', steps: [makeStep()], acceptedAt: 0 }

/** Draws a valid task, and one with a part replaced, added or left out. */
function makeTask (): fc.Arbitrary<unknown> {
  const number = fc.nat({ max: 5 })
  const run = fc.tuple(number, fc.string(), fc.integer(), fc.string())
  const parts = fc.tuple(fc.constantFrom<unknown>(0, 1), number, number, fc.string(), fc.array(run, { maxLength: 3 }), fc.array(fc.string(), { maxLength: 2 }))
  const withCrashes = fc.tuple(parts, fc.option(fc.tuple(number, number, number), { nil: undefined })).map(([task, crashes]) => crashes === undefined ? [...task] : [...task, crashes])
  const odd = fc.oneof(fc.constantFrom<unknown>(null, -1, 0.5, 1e300, '', [], {}, true), fc.jsonValue())
  const changed = fc.tuple(withCrashes, fc.nat({ max: 7 }), odd).map(([task, index, value]) => Object.assign([...task], { [index]: value }))
  const shortened = withCrashes.map(task => task.slice(1))
  return fc.oneof(withCrashes, changed, shortened, odd)
}

test('a record is taken exactly if its task has the stored format, since a run that is left out would be started twice', t => {
  fc.assert(fc.property(makeTask(), task => {
    const text = JSON.stringify({ phase: 'running', steps: { '0.0': { failures: 0, failedRun: 0, tasks: [task] } } })
    const isValid = taskSchema.safeParse(JSON.parse(JSON.stringify(task))).success
    t.is(decodeProgress(GRAPH, text) !== undefined, isValid, text)
  }), { seed: 37, numRuns: 5_000 })
})
