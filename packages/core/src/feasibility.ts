/**
 * Checks whether a fleet has the capacity for all guarantees at once: compares the sum of the guaranteed slots with the slots of the fleet,
 * and packs the guaranteed shapes into its workers.
 */

/** Capacity of one worker and its position in the topology. */
export interface WorkerCapacity {
  readonly failureDomain: string
  readonly rack: string
  readonly slots: number
  readonly accelerators: number
}

/** Level of the topology domain that must contain all accelerators of a shape. */
export type AdjacencyLevel = 'worker' | 'rack' | 'failureDomain'

/** Shapes guaranteed to an organisation: `count` times `accelerators` within one domain of a level. */
export interface ShapeGuarantee {
  readonly organisation: string
  /** Position of the guarantee in the organisation's list of guaranteed shapes. */
  readonly index: number
  readonly accelerators: number
  readonly adjacency: AdjacencyLevel
  readonly count: number
}

export interface SlotGuarantee {
  readonly organisation: string
  readonly slots: number
}

/** A guarantee that the fleet has no capacity for; `path` is its path within the declarations. */
export interface InfeasibleGuarantee {
  readonly path: readonly PropertyKey[]
  readonly found: string
  readonly expected: string
}

interface TopologyDomain {
  readonly workers: WorkerAccelerators[]
}

interface WorkerAccelerators {
  free: number
}

const LEVELS: readonly AdjacencyLevel[] = ['worker', 'rack', 'failureDomain']
const LEVEL_NAMES: Readonly<Record<AdjacencyLevel, string>> = { worker: 'worker', rack: 'rack', failureDomain: 'failure domain' }

/** Returns the guarantees that the fleet has no capacity for; empty when it can hold all guarantees at once. */
export function checkFeasibility (slots: readonly SlotGuarantee[], shapes: readonly ShapeGuarantee[], fleet: readonly WorkerCapacity[]): InfeasibleGuarantee[] {
  const faults = [...checkSlotGuarantees(slots, fleet), ...shapes.flatMap(shape => checkShapeFitsLargestDomain(shape, fleet))]
  if (faults.length > 0) return faults
  const levelViolations = LEVELS.flatMap(level => checkShapesAtLevel(level, shapes, fleet))
  return levelViolations.length > 0 ? levelViolations : checkShapePacking(shapes, fleet)
}

function checkSlotGuarantees (slots: readonly SlotGuarantee[], fleet: readonly WorkerCapacity[]): InfeasibleGuarantee[] {
  const guaranteed = sum(slots.map(guarantee => guarantee.slots))
  const available = sum(fleet.map(worker => worker.slots))
  if (guaranteed <= available) return []
  return [{ path: ['organisations'], found: `guaranteedSlots that sum to ${guaranteed}`, expected: `at most ${available}, the slots of the ${fleet.length} workers announced` }]
}

function checkShapeFitsLargestDomain (shape: ShapeGuarantee, fleet: readonly WorkerCapacity[]): InfeasibleGuarantee[] {
  const largest = Math.max(0, ...listDomains(shape.adjacency, fleet).map(countFreeAccelerators))
  if (shape.accelerators <= largest) return []
  return [{
    path: [...makeShapePath(shape), 'accelerators'],
    found: String(shape.accelerators),
    expected: `at most ${largest}, the accelerators of the largest ${LEVEL_NAMES[shape.adjacency]} announced`
  }]
}

/** Compares, for each size of shape, the number of guaranteed shapes of at least that size with the number that fit in the domains of the level. */
function checkShapesAtLevel (level: AdjacencyLevel, shapes: readonly ShapeGuarantee[], fleet: readonly WorkerCapacity[]): InfeasibleGuarantee[] {
  const nested = shapes.filter(shape => LEVELS.indexOf(shape.adjacency) <= LEVELS.indexOf(level))
  const domains = listDomains(level, fleet).map(countFreeAccelerators)
  const guaranteed = sum(nested.map(shape => shape.accelerators * shape.count))
  const available = sum(domains)
  if (guaranteed > available) {
    return [{ path: ['organisations'], found: `guaranteedShapes within a ${LEVEL_NAMES[level]} that sum to ${guaranteed} accelerators`, expected: `at most ${available}, the accelerators announced` }]
  }
  for (const size of new Set(nested.map(shape => shape.accelerators))) {
    const count = sum(nested.filter(shape => shape.accelerators >= size).map(shape => shape.count))
    const room = sum(domains.map(free => Math.floor(free / size)))
    if (count > room) {
      return [{ path: ['organisations'], found: `${count} guaranteedShapes of ${size} or more accelerators within a ${LEVEL_NAMES[level]}`, expected: `at most ${room}, as many as the workers announced hold at once` }]
    }
  }
  return []
}

function checkShapePacking (shapes: readonly ShapeGuarantee[], fleet: readonly WorkerCapacity[]): InfeasibleGuarantee[] {
  const bySize = [...shapes].sort((a, b) => b.accelerators - a.accelerators || compareLevels(a, b))
  const byLevel = [...shapes].sort((a, b) => compareLevels(a, b) || b.accelerators - a.accelerators)
  const missing = findUnplacedShape(bySize, fleet)
  if (missing === undefined || findUnplacedShape(byLevel, fleet) === undefined) return []
  return [{
    path: makeShapePath(missing),
    found: `${missing.count} of ${missing.accelerators} accelerators within a ${LEVEL_NAMES[missing.adjacency]}`,
    expected: 'shapes that fit beside all other guaranteed shapes; no placement of all of them was found'
  }]
}

function findUnplacedShape (shapes: readonly ShapeGuarantee[], fleet: readonly WorkerCapacity[]): ShapeGuarantee | undefined {
  const workers = fleet.map(capacity => ({ capacity, free: capacity.accelerators }))
  const domains = new Map(LEVELS.map(level => [level, collectDomains(level, workers)]))
  return shapes.find(shape => {
    for (let placed = 0; placed < shape.count; placed++) {
      if (!placeShape(shape.accelerators, domains.get(shape.adjacency) ?? [])) return true
    }
    return false
  })
}

/** Places a shape in the fitting domain with the fewest free accelerators (best fit). Returns false when the shape fits in no domain. */
function placeShape (accelerators: number, domains: readonly TopologyDomain[]): boolean {
  const fitting = domains.filter(domain => countFreeAccelerators(domain) >= accelerators)
  const domain = fitting.sort((a, b) => countFreeAccelerators(a) - countFreeAccelerators(b))[0]
  if (domain === undefined) return false
  let remaining = accelerators
  for (const worker of [...domain.workers].sort((a, b) => a.free - b.free)) {
    const taken = Math.min(remaining, worker.free)
    worker.free -= taken
    remaining -= taken
  }
  return true
}

function listDomains (level: AdjacencyLevel, fleet: readonly WorkerCapacity[]): TopologyDomain[] {
  return collectDomains(level, fleet.map(capacity => ({ capacity, free: capacity.accelerators })))
}

function collectDomains (level: AdjacencyLevel, workers: ReadonlyArray<WorkerAccelerators & { readonly capacity: WorkerCapacity }>): TopologyDomain[] {
  if (level === 'worker') return workers.map(worker => ({ workers: [worker] }))
  const domains = new Map<string, TopologyDomain>()
  for (const worker of workers) {
    const { failureDomain, rack } = worker.capacity
    const key = level === 'rack' ? `${failureDomain}/${rack}` : failureDomain
    const domain = domains.get(key) ?? { workers: [] }
    domain.workers.push(worker)
    domains.set(key, domain)
  }
  return [...domains.values()]
}

function makeShapePath (shape: ShapeGuarantee): PropertyKey[] {
  return ['organisations', shape.organisation, 'guaranteedShapes', shape.index]
}

function compareLevels (a: ShapeGuarantee, b: ShapeGuarantee): number {
  return LEVELS.indexOf(a.adjacency) - LEVELS.indexOf(b.adjacency)
}

function countFreeAccelerators (domain: TopologyDomain): number {
  return sum(domain.workers.map(worker => worker.free))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
