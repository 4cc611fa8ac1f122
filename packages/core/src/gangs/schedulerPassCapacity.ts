/**
 * Capacity during one scheduler pass, in which the planner decides on all waiting jobs of a snapshot: the free resources of the fleet,
 * the guarantees in use, and the gangs whose resources could be reclaimed.
 */
import { CapacityTable, FleetModel } from './fleetModel.js'
import { computeCellsOfTask, countUsedCells, GuaranteeTracker } from './guaranteeTracker.js'
import type { ShapeInstance } from './guaranteeTracker.js'
import { GangAdjacency } from './jobTypes.js'
import type { JobSpec, PlanSnapshot } from './jobTypes.js'
import { findPlacement, findPlacementInGroup, listPlacementGroups } from './placementSearch.js'
import { chooseReclaimMethod } from './reclaimMethod.js'
import type { Victim } from './reclaimMethod.js'

/**
 * A way to charge a job to guaranteed shapes of its organisation: the keys of the shapes, one for the whole gang or one for each task,
 * with the workers on which the job may then run.
 */
export interface ShapeCharge {
  readonly keys: readonly string[]
  readonly adjacency: GangAdjacency
  readonly startWithinMs: number
  readonly isAllowed?: (worker: number) => boolean
}

/** Placement of a job on guaranteed capacity: the worker number of each task, and the gangs that must be reclaimed first. */
export interface GuaranteedPlacement {
  readonly places: number[]
  readonly victims: readonly Victim[]
}

const ADJACENCY_WIDTH = { worker: 0, rack: 1, failureDomain: 2 } as const
const MAX_PLACEMENT_ATTEMPTS = 4

export class SchedulerPassCapacity {
  readonly fleet: FleetModel
  readonly guarantees: GuaranteeTracker
  private readonly _victims: Array<Omit<Victim, 'how' | 'lossMs'>> = []
  private readonly _victimsByWorker = new Map<number, number[]>()
  /** Gangs on borrowed capacity that were started earlier in this pass. Their resources can't be reclaimed in the same pass. */
  private readonly _startedBorrowers: Array<{ places: readonly number[], spec: JobSpec }> = []
  private readonly _now: number
  private _shortfall: number | undefined

  constructor (snapshot: PlanSnapshot, now: number) {
    this._now = now
    this.fleet = new FleetModel(snapshot.workers)
    this.guarantees = new GuaranteeTracker(this.fleet, snapshot.guarantees)
    for (const job of snapshot.running) {
      const places = this.fleet.listWorkerIndexes(job.placement)
      this.fleet.takeResources(places, job.spec.shape)
      if (this.guarantees.hasInstances(job.coveredBy)) this.guarantees.addCharge(places, job.spec.shape, job.coveredBy)
      else if (job.spec.isCheckpointable || job.isStopping) this._addVictim({ job, places })
      else this.guarantees.addUnreclaimable(places, job.spec.shape)
    }
  }

  /** Returns workers with free capacity for a job on borrowed capacity, such that capacity for all guaranteed shapes can still be freed. */
  findBorrowedPlacement (spec: JobSpec, isAllowed: (worker: number) => boolean): number[] | undefined {
    const excluded = new Set<number>()
    const query = { ...spec, capacity: this.fleet.free, isAllowed: (worker: number) => !excluded.has(worker) && isAllowed(worker) }
    for (let attempt = 0; attempt < MAX_PLACEMENT_ATTEMPTS; attempt++) {
      const places = findPlacement(this.fleet, query)
      if (places === undefined || spec.isCheckpointable) return places
      if (this._tryAddUnreclaimable(places, spec)) return places
      for (const worker of places) excluded.add(worker)
    }
    return undefined
  }

  /** Lists the ways to charge a job to guaranteed shapes of its organisation: to a partly used shape, to an unused shape, to one shape per task. */
  listShapeCharges (spec: JobSpec): ShapeCharge[] {
    const charges: ShapeCharge[] = []
    const size = spec.shape.accelerators * spec.tasks
    const unused: ShapeInstance[] = []
    const seen = new Set<string>()
    for (const instance of this.guarantees.listInstances(spec.organisation)) {
      const { guarantee } = instance
      const isInUse = instance.used.size > 0
      if (!isInUse && guarantee.adjacency === GangAdjacency.worker && spec.shape.accelerators <= guarantee.accelerators) unused.push(instance)
      if (guarantee.accelerators - countUsedCells(instance) < size) continue
      const kind = isInUse ? instance.key : `${guarantee.accelerators}/${guarantee.adjacency}`
      if (seen.has(kind)) continue
      seen.add(kind)
      charges.push(this._makeShapeCharge(spec, instance))
    }
    charges.sort((a, b) => Number(a.isAllowed === undefined) - Number(b.isAllowed === undefined))
    const perTask = unused.slice(0, spec.tasks)
    if (spec.tasks > 1 && perTask.length === spec.tasks) {
      const startWithinMs = Math.min(...perTask.map(instance => instance.guarantee.startWithinMs))
      charges.push({ keys: perTask.map(instance => instance.key), adjacency: spec.adjacency, startWithinMs })
    }
    return charges
  }

  /** Returns a placement for a job that is charged to guaranteed shapes: in free capacity, or else by the reclaim that loses the least work. */
  findGuaranteedPlacement (spec: JobSpec, charge: ShapeCharge, isAllowed: (worker: number) => boolean): GuaranteedPlacement | undefined {
    const isUsable = (worker: number): boolean => isAllowed(worker) && charge.isAllowed?.(worker) !== false
    const query = { tasks: spec.tasks, shape: spec.shape, adjacency: charge.adjacency, isAllowed: isUsable }
    const places = findPlacement(this.fleet, { ...query, capacity: this.fleet.free })
    if (places !== undefined && this._tryAddCharge(places, spec, charge)) return { places, victims: [] }
    return this._findPlacementByReclaim(spec, charge, isUsable)
  }

  /** Subtracts the resources of a gang's tasks from the free resources of their workers for the rest of the pass. */
  takeResources (places: readonly number[], spec: JobSpec): void {
    this.fleet.takeResources(places, spec.shape)
  }

  private _makeShapeCharge (spec: JobSpec, instance: ShapeInstance): ShapeCharge {
    const { adjacency: guaranteed, startWithinMs } = instance.guarantee
    const adjacency = ADJACENCY_WIDTH[guaranteed] < ADJACENCY_WIDTH[spec.adjacency] ? guaranteed : spec.adjacency
    const anchor = instance.used.keys().next().value
    const base = { keys: [instance.key], adjacency, startWithinMs }
    if (anchor === undefined) return base
    if (guaranteed === GangAdjacency.worker) return { ...base, isAllowed: worker => worker === anchor }
    const groupOf = guaranteed === GangAdjacency.rack ? this.fleet.rackOf : this.fleet.failureDomainOf
    return { ...base, isAllowed: worker => groupOf[worker] === groupOf[anchor] }
  }

  /** Searches the workers, racks or failure domains for the one where reclaims lose the least work. */
  private _findPlacementByReclaim (spec: JobSpec, charge: ShapeCharge, isAllowed: (worker: number) => boolean): GuaranteedPlacement | undefined {
    const freeable = this.guarantees.computeFreeableResources()
    this._removeStartedBorrowers(freeable)
    const options: Array<GuaranteedPlacement & { lossMs: number }> = []
    for (const group of listPlacementGroups(this.fleet, charge.adjacency)) {
      const query = { tasks: spec.tasks, shape: spec.shape, adjacency: charge.adjacency, capacity: freeable, isAllowed }
      const places = findPlacementInGroup(this.fleet, group, query)
      if (places === undefined) continue
      const victims = this._chooseVictims(places, spec, charge.startWithinMs)
      if (victims === undefined) continue
      options.push({ places, victims, lossMs: victims.reduce((sum, victim) => sum + victim.lossMs, 0) })
    }
    options.sort((a, b) => a.lossMs - b.lossMs)
    return options.find(option => this._tryAddCharge(option.places, spec, charge))
  }

  /** Records a gang on borrowed capacity that was started in this pass, so that no later job of the pass reclaims its resources. */
  recordStartedBorrower (places: readonly number[], spec: JobSpec): void {
    this._startedBorrowers.push({ places, spec })
  }

  private _removeStartedBorrowers (freeable: CapacityTable): void {
    for (const { places, spec } of this._startedBorrowers) for (const worker of places) freeable.add(worker, spec.shape, -1)
  }

  private _chooseVictims (places: readonly number[], spec: JobSpec, withinMs: number): Victim[] | undefined {
    const freeAfter = new Map<number, CapacityTable>()
    for (const worker of places) {
      const row = freeAfter.get(worker) ?? this._copyFreeCapacity(worker)
      freeAfter.set(worker, row)
      row.add(0, spec.shape, -1)
    }
    const candidates = new Set([...freeAfter.keys()].flatMap(worker => this._victimsByWorker.get(worker) ?? []))
    const ranked = [...candidates].map(index => {
      const { job, places: victimPlaces } = this._victims[index] as Victim
      return chooseReclaimMethod(job, victimPlaces, withinMs, this._now)
    }).sort((a, b) => a.lossMs - b.lossMs || (a.job.spec.id < b.job.spec.id ? -1 : 1))
    const chosen: Victim[] = []
    for (const victim of ranked) {
      if ([...freeAfter.values()].every(hasRoom)) break
      if (!victim.places.some(worker => freeAfter.has(worker) && !hasRoom(freeAfter.get(worker) as CapacityTable))) continue
      for (const worker of victim.places) freeAfter.get(worker)?.add(0, victim.job.spec.shape, 1)
      chosen.push(victim)
    }
    return [...freeAfter.values()].every(hasRoom) ? chosen : undefined
  }

  private _copyFreeCapacity (worker: number): CapacityTable {
    const { free } = this.fleet
    const row = new CapacityTable(1)
    row.add(0, { accelerators: free.accelerators[worker] ?? 0, cores: free.cores[worker] ?? 0, memoryGb: free.memoryGb[worker] ?? 0 }, 1)
    return row
  }

  private _tryAddUnreclaimable (places: readonly number[], spec: JobSpec): boolean {
    const before = this._getShortfall()
    this.guarantees.addUnreclaimable(places, spec.shape)
    const after = this.guarantees.isWithinCapacity(places) ? this.guarantees.computeShortfall() : Infinity
    if (after <= before) {
      this._shortfall = after
      return true
    }
    this.guarantees.addUnreclaimable(places, spec.shape, -1)
    return false
  }

  private _tryAddCharge (places: readonly number[], spec: JobSpec, charge: ShapeCharge): boolean {
    if (!this._isWithinGuarantees(places, spec, charge)) return false
    const before = this._getShortfall()
    this.guarantees.addCharge(places, spec.shape, charge.keys)
    const after = this.guarantees.isWithinCapacity(places) ? this.guarantees.computeShortfall() : Infinity
    if (after <= before) {
      this._shortfall = after
      return true
    }
    this.guarantees.addCharge(places, spec.shape, charge.keys, -1)
    return false
  }

  private _isWithinGuarantees (places: readonly number[], spec: JobSpec, charge: ShapeCharge): boolean {
    const instances = this.guarantees.listInstances(spec.organisation)
    const remainingCells = new Map(instances.map(instance => [instance.key, instance.guarantee.accelerators - countUsedCells(instance)]))
    places.forEach((worker, task) => {
      const key = (charge.keys.length === 1 ? charge.keys[0] : charge.keys[task]) ?? ''
      const facts = this.fleet.workers[worker]
      remainingCells.set(key, (remainingCells.get(key) ?? 0) - (facts === undefined ? Infinity : computeCellsOfTask(facts, spec.shape)))
    })
    return charge.keys.every(key => (remainingCells.get(key) ?? -1) >= 0)
  }

  private _getShortfall (): number {
    this._shortfall ??= this.guarantees.computeShortfall()
    return this._shortfall
  }

  private _addVictim (victim: Omit<Victim, 'how' | 'lossMs'>): void {
    const index = this._victims.push(victim) - 1
    for (const worker of new Set(victim.places)) {
      const known = this._victimsByWorker.get(worker)
      if (known === undefined) this._victimsByWorker.set(worker, [index])
      else known.push(index)
    }
  }
}

function hasRoom (row: CapacityTable): boolean {
  return (row.accelerators[0] ?? 0) >= 0 && (row.cores[0] ?? 0) >= 0 && (row.memoryGb[0] ?? 0) >= 0
}
