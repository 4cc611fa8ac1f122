/**
 * Checks whether a fleet can hold all guarantees at once: slots by their sum, shapes by packing them.
 */

/** Accelerators of one worker and where it stands. */
export interface WorkerCapacity {
  readonly failureDomain: string
  readonly rack: string
  readonly slots: number
  readonly accelerators: number
}

/** Places within which the accelerators of a shape must lie. */
export type AdjacencyLevel = 'worker' | 'rack' | 'failureDomain'

/** Shapes guaranteed to an organisation: `count` times `accelerators` within one place of a level. */
export interface ShapeGuarantee {
  readonly organisation: string
  /** Position in the organisation's list. */
  readonly index: number
  readonly accelerators: number
  readonly adjacency: AdjacencyLevel
  readonly count: number
}

export interface SlotGuarantee {
  readonly organisation: string
  readonly slots: number
}

/** A guarantee that the fleet can't hold; `path` is a path within the declarations. */
export interface InfeasibleGuarantee {
  readonly path: readonly PropertyKey[]
  readonly found: string
  readonly expected: string
}

interface Place {
  readonly workers: Worker[]
}

interface Worker {
  free: number
}

const LEVELS: readonly AdjacencyLevel[] = ['worker', 'rack', 'failureDomain']
const LEVEL_NAMES: Readonly<Record<AdjacencyLevel, string>> = { worker: 'worker', rack: 'rack', failureDomain: 'failure domain' }

/** Returns what the fleet can't hold; empty when all guarantees can be held at once. */
export function checkFeasibility (slots: readonly SlotGuarantee[], shapes: readonly ShapeGuarantee[], fleet: readonly WorkerCapacity[]): InfeasibleGuarantee[] {
  const faults = [...checkSlots(slots, fleet), ...shapes.flatMap(shape => checkLargest(shape, fleet))]
  if (faults.length > 0) return faults
  const counted = LEVELS.flatMap(level => checkLevel(level, shapes, fleet))
  return counted.length > 0 ? counted : checkPacking(shapes, fleet)
}

function checkSlots (slots: readonly SlotGuarantee[], fleet: readonly WorkerCapacity[]): InfeasibleGuarantee[] {
  const wanted = sum(slots.map(guarantee => guarantee.slots))
  const present = sum(fleet.map(worker => worker.slots))
  if (wanted <= present) return []
  return [{ path: ['organisations'], found: `guaranteedSlots that sum to ${wanted}`, expected: `at most ${present}, the slots of the ${fleet.length} workers announced` }]
}

function checkLargest (shape: ShapeGuarantee, fleet: readonly WorkerCapacity[]): InfeasibleGuarantee[] {
  const largest = Math.max(0, ...listPlaces(shape.adjacency, fleet).map(countFree))
  if (shape.accelerators <= largest) return []
  return [{
    path: [...makePath(shape), 'accelerators'],
    found: String(shape.accelerators),
    expected: `at most ${largest}, the accelerators of the largest ${LEVEL_NAMES[shape.adjacency]} announced`
  }]
}

/** Counts, level by level, the places that shapes of at least each size need against the places there are. */
function checkLevel (level: AdjacencyLevel, shapes: readonly ShapeGuarantee[], fleet: readonly WorkerCapacity[]): InfeasibleGuarantee[] {
  const own = shapes.filter(shape => LEVELS.indexOf(shape.adjacency) <= LEVELS.indexOf(level))
  const places = listPlaces(level, fleet).map(countFree)
  const wanted = sum(own.map(shape => shape.accelerators * shape.count))
  const present = sum(places)
  if (wanted > present) {
    return [{ path: ['organisations'], found: `guaranteedShapes within a ${LEVEL_NAMES[level]} that sum to ${wanted} accelerators`, expected: `at most ${present}, the accelerators announced` }]
  }
  for (const size of new Set(own.map(shape => shape.accelerators))) {
    const count = sum(own.filter(shape => shape.accelerators >= size).map(shape => shape.count))
    const room = sum(places.map(free => Math.floor(free / size)))
    if (count > room) {
      return [{ path: ['organisations'], found: `${count} guaranteedShapes of ${size} or more accelerators within a ${LEVEL_NAMES[level]}`, expected: `at most ${room}, as many as the workers announced hold at once` }]
    }
  }
  return []
}

function checkPacking (shapes: readonly ShapeGuarantee[], fleet: readonly WorkerCapacity[]): InfeasibleGuarantee[] {
  const bySize = [...shapes].sort((a, b) => b.accelerators - a.accelerators || compareLevels(a, b))
  const byLevel = [...shapes].sort((a, b) => compareLevels(a, b) || b.accelerators - a.accelerators)
  const missing = findUnplaced(bySize, fleet)
  if (missing === undefined || findUnplaced(byLevel, fleet) === undefined) return []
  return [{
    path: makePath(missing),
    found: `${missing.count} of ${missing.accelerators} accelerators within a ${LEVEL_NAMES[missing.adjacency]}`,
    expected: 'shapes that fit beside all other guaranteed shapes; no placement of all of them was found'
  }]
}

function findUnplaced (shapes: readonly ShapeGuarantee[], fleet: readonly WorkerCapacity[]): ShapeGuarantee | undefined {
  const workers = fleet.map(capacity => ({ capacity, free: capacity.accelerators }))
  const places = new Map(LEVELS.map(level => [level, collectPlaces(level, workers)]))
  return shapes.find(shape => {
    for (let placed = 0; placed < shape.count; placed++) {
      if (!placeShape(shape.accelerators, places.get(shape.adjacency) ?? [])) return true
    }
    return false
  })
}

/** Takes a shape from the fitting place with the least room; false when none fits. */
function placeShape (accelerators: number, places: readonly Place[]): boolean {
  const fitting = places.filter(place => countFree(place) >= accelerators)
  const place = fitting.sort((a, b) => countFree(a) - countFree(b))[0]
  if (place === undefined) return false
  let rest = accelerators
  for (const worker of [...place.workers].sort((a, b) => a.free - b.free)) {
    const taken = Math.min(rest, worker.free)
    worker.free -= taken
    rest -= taken
  }
  return true
}

function listPlaces (level: AdjacencyLevel, fleet: readonly WorkerCapacity[]): Place[] {
  return collectPlaces(level, fleet.map(capacity => ({ capacity, free: capacity.accelerators })))
}

function collectPlaces (level: AdjacencyLevel, workers: ReadonlyArray<Worker & { readonly capacity: WorkerCapacity }>): Place[] {
  if (level === 'worker') return workers.map(worker => ({ workers: [worker] }))
  const places = new Map<string, Place>()
  for (const worker of workers) {
    const { failureDomain, rack } = worker.capacity
    const key = level === 'rack' ? `${failureDomain}/${rack}` : failureDomain
    const place = places.get(key) ?? { workers: [] }
    place.workers.push(worker)
    places.set(key, place)
  }
  return [...places.values()]
}

function makePath (shape: ShapeGuarantee): PropertyKey[] {
  return ['organisations', shape.organisation, 'guaranteedShapes', shape.index]
}

function compareLevels (a: ShapeGuarantee, b: ShapeGuarantee): number {
  return LEVELS.indexOf(a.adjacency) - LEVELS.indexOf(b.adjacency)
}

function countFree (place: Place): number {
  return sum(place.workers.map(worker => worker.free))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
