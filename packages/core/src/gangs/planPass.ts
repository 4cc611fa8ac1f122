/**
 * One pass of the planner over a snapshot: fleet, guarantees in use, and who could be reclaimed.
 */
import { CapacityTable, FleetModel } from './fleetModel.js'
import { computeCells, countUsedCells, GuaranteeLedger } from './guaranteeLedger.js'
import type { ShapeInstance } from './guaranteeLedger.js'
import { GangAdjacency } from './jobTypes.js'
import type { JobSpec, PlanSnapshot } from './jobTypes.js'
import { findPlacement, findPlacementIn, listGroups } from './placementSearch.js'
import { chooseMethod } from './victimChoice.js'
import type { Victim } from './victimChoice.js'

/** Guaranteed shapes that a job could use, and where they allow it to be. */
export interface Cover {
  readonly keys: readonly string[]
  readonly adjacency: GangAdjacency
  readonly startWithinMs: number
  readonly isAllowed?: (worker: number) => boolean
}

/** A place with what it takes to have it. */
export interface CoveredPlace {
  readonly places: number[]
  readonly victims: readonly Victim[]
}

const WIDTH = { worker: 0, rack: 1, failureDomain: 2 } as const
const FIRM_TRIES = 4

export class PlanPass {
  readonly fleet: FleetModel
  readonly ledger: GuaranteeLedger
  private readonly _victims: Array<Omit<Victim, 'how' | 'lossMs'>> = []
  private readonly _victimsByWorker = new Map<number, number[]>()
  /** Places given earlier in this pass, which are not there to be reclaimed again. */
  private readonly _held: Array<{ places: readonly number[], spec: JobSpec }> = []
  private readonly _now: number
  private _shortfall: number | undefined

  constructor (snapshot: PlanSnapshot, now: number) {
    this._now = now
    this.fleet = new FleetModel(snapshot.workers)
    this.ledger = new GuaranteeLedger(this.fleet, snapshot.guarantees)
    for (const job of snapshot.running) {
      const places = this.fleet.listIndexes(job.placement)
      this.fleet.hold(places, job.spec.shape)
      if (this.ledger.hasInstances(job.coveredBy)) this.ledger.addCovered(places, job.spec.shape, job.coveredBy)
      else if (job.spec.isCheckpointable || job.isLeaving) this._addVictim({ job, places })
      else this.ledger.addFirm(places, job.spec.shape)
    }
  }

  /** Returns a place in free capacity for a job that borrows; guaranteed shapes stay reclaimable. */
  findBorrowed (spec: JobSpec, isAllowed: (worker: number) => boolean): number[] | undefined {
    const excluded = new Set<number>()
    const query = { ...spec, capacity: this.fleet.free, isAllowed: (worker: number) => !excluded.has(worker) && isAllowed(worker) }
    for (let tries = 0; tries < FIRM_TRIES; tries++) {
      const places = findPlacement(this.fleet, query)
      if (places === undefined || spec.isCheckpointable) return places
      if (this._tryFirm(places, spec)) return places
      for (const worker of places) excluded.add(worker)
    }
    return undefined
  }

  /** Lists the ways to charge a job to its organisation's guaranteed shapes, tightest first. */
  listCovers (spec: JobSpec): Cover[] {
    const covers: Cover[] = []
    const size = spec.shape.accelerators * spec.tasks
    const open: ShapeInstance[] = []
    const seen = new Set<string>()
    for (const instance of this.ledger.listInstances(spec.organisation)) {
      const { guarantee } = instance
      const isBound = instance.used.size > 0
      if (!isBound && guarantee.adjacency === GangAdjacency.worker && spec.shape.accelerators <= guarantee.accelerators) open.push(instance)
      if (guarantee.accelerators - countUsedCells(instance) < size) continue
      const kind = isBound ? instance.key : `${guarantee.accelerators}/${guarantee.adjacency}`
      if (seen.has(kind)) continue
      seen.add(kind)
      covers.push(this._makeCover(spec, instance))
    }
    covers.sort((a, b) => Number(a.isAllowed === undefined) - Number(b.isAllowed === undefined))
    const perTask = open.slice(0, spec.tasks)
    if (spec.tasks > 1 && perTask.length === spec.tasks) {
      const startWithinMs = Math.min(...perTask.map(instance => instance.guarantee.startWithinMs))
      covers.push({ keys: perTask.map(instance => instance.key), adjacency: spec.adjacency, startWithinMs })
    }
    return covers
  }

  /** Returns a place for a job under a cover, in free capacity or else by reclaim of the least work. */
  findCovered (spec: JobSpec, cover: Cover, isAllowed: (worker: number) => boolean): CoveredPlace | undefined {
    const isOpen = (worker: number): boolean => isAllowed(worker) && cover.isAllowed?.(worker) !== false
    const query = { tasks: spec.tasks, shape: spec.shape, adjacency: cover.adjacency, isAllowed: isOpen }
    const places = findPlacement(this.fleet, { ...query, capacity: this.fleet.free })
    if (places !== undefined && this._tryCover(places, spec, cover)) return { places, victims: [] }
    return this._findReclaimed(spec, cover, isOpen)
  }

  /** Takes a place for the rest of the pass. */
  hold (places: readonly number[], spec: JobSpec): void {
    this.fleet.hold(places, spec.shape)
  }

  private _makeCover (spec: JobSpec, instance: ShapeInstance): Cover {
    const { adjacency: guaranteed, startWithinMs } = instance.guarantee
    const adjacency = WIDTH[guaranteed] < WIDTH[spec.adjacency] ? guaranteed : spec.adjacency
    const anchor = instance.used.keys().next().value
    const base = { keys: [instance.key], adjacency, startWithinMs }
    if (anchor === undefined) return base
    if (guaranteed === GangAdjacency.worker) return { ...base, isAllowed: worker => worker === anchor }
    const groupOf = guaranteed === GangAdjacency.rack ? this.fleet.rackOf : this.fleet.failureDomainOf
    return { ...base, isAllowed: worker => groupOf[worker] === groupOf[anchor] }
  }

  /** Looks at each worker, rack or failure domain for the one where least work is lost. */
  private _findReclaimed (spec: JobSpec, cover: Cover, isAllowed: (worker: number) => boolean): CoveredPlace | undefined {
    const freeable = this.ledger.computeFreeable()
    this._takeHeld(freeable)
    const options: Array<CoveredPlace & { lossMs: number }> = []
    for (const group of listGroups(this.fleet, cover.adjacency)) {
      const query = { tasks: spec.tasks, shape: spec.shape, adjacency: cover.adjacency, capacity: freeable, isAllowed }
      const places = findPlacementIn(this.fleet, group, query)
      if (places === undefined) continue
      const victims = this._chooseVictims(places, spec, cover.startWithinMs)
      if (victims === undefined) continue
      options.push({ places, victims, lossMs: victims.reduce((sum, victim) => sum + victim.lossMs, 0) })
    }
    options.sort((a, b) => a.lossMs - b.lossMs)
    return options.find(option => this._tryCover(option.places, spec, cover))
  }

  /** Notes a borrowed start of this pass, which no later job of the pass may reclaim. */
  noteStarted (places: readonly number[], spec: JobSpec): void {
    this._held.push({ places, spec })
  }

  private _takeHeld (freeable: CapacityTable): void {
    for (const { places, spec } of this._held) for (const worker of places) freeable.add(worker, spec.shape, -1)
  }

  private _chooseVictims (places: readonly number[], spec: JobSpec, withinMs: number): Victim[] | undefined {
    const lack = new Map<number, CapacityTable>()
    for (const worker of places) {
      const row = lack.get(worker) ?? this._readFree(worker)
      lack.set(worker, row)
      row.add(0, spec.shape, -1)
    }
    const candidates = new Set([...lack.keys()].flatMap(worker => this._victimsByWorker.get(worker) ?? []))
    const ranked = [...candidates].map(index => {
      const { job, places: held } = this._victims[index] as Victim
      return chooseMethod(job, held, withinMs, this._now)
    }).sort((a, b) => a.lossMs - b.lossMs || (a.job.spec.id < b.job.spec.id ? -1 : 1))
    const chosen: Victim[] = []
    for (const victim of ranked) {
      if ([...lack.values()].every(hasRoom)) break
      if (!victim.places.some(worker => lack.has(worker) && !hasRoom(lack.get(worker) as CapacityTable))) continue
      for (const worker of victim.places) lack.get(worker)?.add(0, victim.job.spec.shape, 1)
      chosen.push(victim)
    }
    return [...lack.values()].every(hasRoom) ? chosen : undefined
  }

  private _readFree (worker: number): CapacityTable {
    const { free } = this.fleet
    const row = new CapacityTable(1)
    row.add(0, { accelerators: free.accelerators[worker] ?? 0, cores: free.cores[worker] ?? 0, memoryGb: free.memoryGb[worker] ?? 0 }, 1)
    return row
  }

  private _tryFirm (places: readonly number[], spec: JobSpec): boolean {
    const before = this._getShortfall()
    this.ledger.addFirm(places, spec.shape)
    const after = this.ledger.isWithinCapacity(places) ? this.ledger.computeShortfall() : Infinity
    if (after <= before) {
      this._shortfall = after
      return true
    }
    this.ledger.addFirm(places, spec.shape, -1)
    return false
  }

  private _tryCover (places: readonly number[], spec: JobSpec, cover: Cover): boolean {
    if (!this._isWithinInstances(places, spec, cover)) return false
    const before = this._getShortfall()
    this.ledger.addCovered(places, spec.shape, cover.keys)
    const after = this.ledger.isWithinCapacity(places) ? this.ledger.computeShortfall() : Infinity
    if (after <= before) {
      this._shortfall = after
      return true
    }
    this.ledger.addCovered(places, spec.shape, cover.keys, -1)
    return false
  }

  private _isWithinInstances (places: readonly number[], spec: JobSpec, cover: Cover): boolean {
    const instances = this.ledger.listInstances(spec.organisation)
    const rests = new Map(instances.map(instance => [instance.key, instance.guarantee.accelerators - countUsedCells(instance)]))
    places.forEach((worker, task) => {
      const key = (cover.keys.length === 1 ? cover.keys[0] : cover.keys[task]) ?? ''
      const facts = this.fleet.workers[worker]
      rests.set(key, (rests.get(key) ?? 0) - (facts === undefined ? Infinity : computeCells(facts, spec.shape)))
    })
    return cover.keys.every(key => (rests.get(key) ?? -1) >= 0)
  }

  private _getShortfall (): number {
    this._shortfall ??= this.ledger.computeShortfall()
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
