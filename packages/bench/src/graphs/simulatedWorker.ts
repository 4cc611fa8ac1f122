/**
 * A worker with its agent in a simulated fleet: executes the planner's orders, advances its runs and reports them.
 */
import type { EndListing, RunEnd, RunListing, TaskNeeds, WorkerOrders, WorkerReport } from '@dragonflylever/core/graphs/index'
import { RunSpeedMeter } from '@dragonflylever/daemon/jobAgent/runSpeedMeter'

/** Interval at which a worker updates the progress that it lists, in milliseconds. */
const LIST_INTERVAL_MS = 1_000
const CHECKPOINT_MS = 2_000
const RESUME_MS = 250
/** Highest progress that a worker lists before a run ends. */
const MAX_LISTED_PERCENT = 99
/** Capacity of a worker of the crisp works, and of the guild. */
export const CAPACITY: TaskNeeds = { cpuMillis: 128_000, memoryMb: 524_288, accelerators: 8 }
export const GUILD_CAPACITY: TaskNeeds = { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8 }

/** One run at a simulated worker. */
export interface SimulatedRun {
  readonly task: string
  readonly run: number
  /** Work that was done before, restored from a checkpoint, in milliseconds; here it takes `slowdown` times as long. */
  readonly savedMs: number
  readonly startedAt: number
  /** When the run began to work: for a member of a gang, when all members were present. */
  workingSince: number | undefined
  /** Time that the whole task takes at this worker, in milliseconds. */
  workMs: number
  /** Time that the whole task takes until it ends, in milliseconds: for a member of a gang, the time of the slowest member. */
  endMs: number
  /** Run time until the end per unit of saved work. */
  slowdown: number
  readonly isCheckpointing: boolean
  /** When the run was told to stop; it holds its slot until it has stopped. */
  stoppingSince?: number
}

export class SimulatedWorker {
  readonly id: string
  readonly rack: string
  /** Factor by which tasks take longer here than at a worker of middle speed. */
  readonly factor: number
  /** Number of the worker's incarnation. */
  born = 1
  /** Until when the worker is down, in milliseconds of the simulation. */
  downUntil = 0
  readonly runs = new Map<string, SimulatedRun>()
  hasChanged = true
  lastReportAt = -Infinity
  private _ended: EndListing[] = []
  private _endNumber = 0
  private _listNumber = 0
  private _listedAt = -Infinity
  private _running: readonly RunListing[] = []
  private readonly _speedMeter = new RunSpeedMeter()
  private readonly _capacity: TaskNeeds

  constructor (id: string, rack: string, capacity: TaskNeeds, factor: number) {
    this.id = id
    this.rack = rack
    this.factor = factor
    this._capacity = capacity
  }

  /** Loses all runs; the worker starts again at `until`. */
  restart (until: number): void {
    this.runs.clear()
    this._ended = []
    this._endNumber = 0
    this._running = []
    this.born++
    this.downUntil = until
    this.hasChanged = true
  }

  /** Adds a run. */
  start (run: SimulatedRun): void {
    this.runs.set(run.task, run)
    this.hasChanged = true
  }

  /** Ends a run; its end is reported until the planner acknowledges it. */
  end (run: SimulatedRun, how: RunEnd, now: number): void {
    this.runs.delete(run.task)
    this._ended.push({ number: ++this._endNumber, task: run.task, run: run.run, how, checkpoint: this._makeCheckpoint(run, now, how === 'stopped') })
    this.hasChanged = true
  }

  /** Forgets the ends that the planner has acknowledged. */
  applyAcknowledgement (orders: WorkerOrders): void {
    this._ended = this._ended.filter(end => end.number > orders.seen)
  }

  makeReport (now: number): WorkerReport {
    if (this.hasChanged || now - this._listedAt >= LIST_INTERVAL_MS) {
      this._listNumber++
      this._listedAt = now
      this._running = this._speedMeter.measure([...this.runs.values()].map(run => this._listRun(run, now)), now)
    }
    this.hasChanged = false
    this.lastReportAt = now
    return {
      key: { id: this.id, born: this.born },
      address: `${this.id}:1`,
      service: 's',
      rack: this.rack,
      labels: ['a', this.rack],
      failureDomain: 'd',
      region: 'r',
      capacity: this._capacity,
      isDraining: false,
      drainLeftMs: undefined,
      isOver: false,
      isReachable: true,
      leaseLeftMs: 0,
      listNumber: this._listNumber,
      running: this._running,
      ended: this._ended,
      orders: [],
      crashes: []
    }
  }

  private _listRun (run: SimulatedRun, now: number): RunListing {
    return { task: run.task, run: run.run, checkpoint: this._makeCheckpoint(run, now, false), percent: computePercent(run, now), usage: 0 }
  }

  /** Returns the checkpoint of a run: its saved work as text, empty if there is none. A gang saves what its slowest member has done. */
  private _makeCheckpoint (run: SimulatedRun, now: number, isStopped: boolean): string {
    if (!run.isCheckpointing) return ''
    const workedMs = computeWorkedMs(run, now)
    const saved = run.savedMs + (isStopped ? workedMs : Math.floor(workedMs / CHECKPOINT_MS) * CHECKPOINT_MS) / run.slowdown
    return saved <= 0 ? '' : String(Math.floor(saved))
  }
}

/** Returns how long a run has worked since it started here, in milliseconds. */
export function computeWorkedMs (run: SimulatedRun, now: number): number {
  return run.workingSince === undefined ? 0 : Math.max(0, Math.min(now, run.stoppingSince ?? now) - run.workingSince - (run.savedMs > 0 ? RESUME_MS : 0))
}

/** True once a run has done its task; the members of a gang are done together. */
export function isRunDone (run: SimulatedRun, now: number): boolean {
  return run.workingSince !== undefined && run.savedMs * run.slowdown + computeWorkedMs(run, now) >= run.endMs
}

/** Returns the progress of a run in percent: what was restored, and what it has done since at the speed of its own worker. */
function computePercent (run: SimulatedRun, now: number): number {
  if (run.workingSince === undefined) return 0
  const restoredShare = run.savedMs * run.slowdown / run.endMs
  return Math.min(MAX_LISTED_PERCENT, Math.floor((restoredShare + computeWorkedMs(run, now) / run.workMs) * 100))
}
