/**
 * Compares the feasibility check of guarantees with an exhaustive search on small fleets.
 */
import test from 'ava'
import fc from 'fast-check'

import { checkFeasibility } from '../src/index.js'
import type { AdjacencyLevel, ShapeGuarantee, WorkerCapacity } from '../src/index.js'

type Shape = Pick<ShapeGuarantee, 'accelerators' | 'adjacency'>

const LEVELS: readonly AdjacencyLevel[] = ['worker', 'rack', 'failureDomain']

function getDomainKey (level: AdjacencyLevel, worker: WorkerCapacity, index: number): string {
  if (level === 'worker') return String(index)
  return level === 'rack' ? `${worker.failureDomain}/${worker.rack}` : worker.failureDomain
}

/** Searches all placements. Shapes of narrower adjacency are placed first, since wider ones can be split freely within their domain. */
function hasPlacement (shapes: readonly Shape[], fleet: readonly WorkerCapacity[]): boolean {
  const [shape, ...rest] = [...shapes].sort((a, b) => LEVELS.indexOf(a.adjacency) - LEVELS.indexOf(b.adjacency))
  if (shape === undefined) return true
  const domains = new Set(fleet.map((worker, index) => getDomainKey(shape.adjacency, worker, index)))
  return [...domains].some(domain => listRemainders(shape, domain, fleet).some(taken => hasPlacement(rest, taken)))
}

/** Lists the remaining fleets after a shape is placed in a domain, for every split over the workers of the domain. */
function listRemainders (shape: Shape, domain: string, fleet: readonly WorkerCapacity[], from = 0): WorkerCapacity[][] {
  if (shape.accelerators === 0) return [[...fleet]]
  const worker = fleet[from]
  if (worker === undefined) return []
  const maxTaken = getDomainKey(shape.adjacency, worker, from) === domain ? Math.min(worker.accelerators, shape.accelerators) : 0
  return Array.from({ length: maxTaken + 1 }, (_, taken) => taken).flatMap(taken => {
    const next = fleet.map((other, index) => index === from ? { ...other, accelerators: other.accelerators - taken } : other)
    return listRemainders({ ...shape, accelerators: shape.accelerators - taken }, domain, next, from + 1)
  })
}

function makeGuarantees (shapes: readonly Shape[]): ShapeGuarantee[] {
  return shapes.map((shape, index) => ({ ...shape, organisation: 'a', index, count: 1 }))
}

const fleets = fc.array(fc.record({
  failureDomain: fc.constantFrom('d1', 'd2'),
  rack: fc.constantFrom('r1', 'r2'),
  slots: fc.constant(8),
  accelerators: fc.integer({ min: 0, max: 4 })
}), { minLength: 1, maxLength: 4 })
const shapeLists = fc.array(fc.record({ accelerators: fc.integer({ min: 1, max: 6 }), adjacency: fc.constantFrom(...LEVELS) }), { minLength: 1, maxLength: 4 })

test('guarantees that pass the check have a placement, and guarantees that exceed the counted capacity have none', t => {
  const seen = { passed: 0, counted: 0, packed: 0 }
  fc.assert(fc.property(fleets, shapeLists, (fleet, shapes) => {
    const faults = checkFeasibility([], makeGuarantees(shapes), fleet)
    const isPacked = faults.some(fault => fault.expected.includes('no placement'))
    seen[faults.length === 0 ? 'passed' : isPacked ? 'packed' : 'counted']++
    return isPacked || hasPlacement(shapes, fleet) === (faults.length === 0)
  }), { seed: 43, numRuns: 1_500 })
  t.true(seen.passed > 50 && seen.counted > 50 && seen.packed > 0, JSON.stringify(seen))
})

test('the check is exact for shapes that must fit on one worker and whose sizes divide each other', t => {
  const workers = fc.array(fc.constantFrom(2, 4, 8), { minLength: 1, maxLength: 3 })
  const sizes = fc.array(fc.constantFrom(1, 2, 4, 8), { minLength: 1, maxLength: 6 })
  fc.assert(fc.property(workers, sizes, (accelerators, wanted) => {
    const fleet = accelerators.map(one => ({ failureDomain: 'd', rack: 'r', slots: 8, accelerators: one }))
    const shapes = wanted.map(one => ({ accelerators: one, adjacency: 'worker' as const }))
    return (checkFeasibility([], makeGuarantees(shapes), fleet).length === 0) === hasPlacement(shapes, fleet)
  }), { seed: 47, numRuns: 500 })
  t.pass()
})
