/**
 * State of a worker at the planner: its last report, its runs, its free capacity, and until when its runs may live without an
 * extension of its lease.
 */
import type { TaskNeeds } from './graphTypes.js'
import type { JobState, WorkerLocation } from './jobState.js'
import { RunSet } from './runSet.js'
import type { WorkerReport } from './workerReport.js'

/** A run that the worker lists although the planner has no such run there. It is stopped, and counts against the capacity until it has ended. */
export interface OrphanedRun {
  readonly task: string
  readonly run: number
  readonly needs: TaskNeeds
}

/** The end of a run that the planner has recorded, with the version of the job that contains it. Times are on the planner's clock. */
export interface RecordedEnd {
  readonly number: number
  /** Job whose state the end changed; undefined when the end changed no job. */
  readonly job: JobState | undefined
  readonly version: number
  readonly recordedAt: number
}

export class WorkerState {
  readonly key: WorkerLocation
  readonly runs = new RunSet()
  readonly orphanedRuns = new Map<string, OrphanedRun>()
  /** Last report; undefined for a worker known only from records. */
  report: WorkerReport | undefined
  /** When the last report arrived, on the planner's clock. */
  lastReportAt = -Infinity
  /** When a report last brought a new list of runs, on the planner's clock. */
  listedAt = -Infinity
  /** When the first report arrived, on the planner's clock; undefined before. */
  firstReportAt: number | undefined
  /** Until when the worker's runs may live without a further extension of its lease, on the planner's clock. */
  aliveUntil: number
  /** Earliest time at which a draining worker may leave, on the planner's clock. */
  drainsUntil: number | undefined
  /** When the first report said that the worker drains, on the planner's clock; undefined before. */
  drainingSince: number | undefined
  /** Until when the worker is slow after its start, on the planner's clock; undefined if it isn't. */
  coldUntil: number | undefined
  /** Highest sequence number of a recorded end of a run. */
  lastEndNumber = 0
  /** Recorded ends of runs that are not acknowledged yet, by ascending sequence number. */
  readonly recordedEnds: RecordedEnd[] = []
  private _acknowledged = 0

  constructor (key: WorkerLocation, aliveUntil: number) {
    this.key = key
    this.aliveUntil = aliveUntil
  }

  /**
   * Returns the sequence number up to which the worker may forget the ends of its runs. An end that changes a job is acknowledged once the
   * job is stored; an end that changes no job, once this planner's leadership was confirmed after the end was recorded.
   */
  computeAcknowledged (leadershipConfirmedAt: number): number {
    while (this.recordedEnds[0] !== undefined && isAcknowledgeable(this.recordedEnds[0], leadershipConfirmedAt)) this._acknowledged = Math.max(this._acknowledged, this.recordedEnds.shift()?.number ?? 0)
    return this._acknowledged
  }

  get capacity (): TaskNeeds {
    return this.report?.capacity ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
  }

  /** Replaces the last report by a newer one. */
  update (report: WorkerReport, now: number): void {
    if (report.listNumber > (this.report?.listNumber ?? 0)) this.listedAt = now
    this.report = report
    this.lastReportAt = now
    this.firstReportAt ??= now
    this.drainingSince = report.isDraining ? this.drainingSince ?? now : undefined
    this.drainsUntil = report.isDraining ? now + (report.drainLeftMs ?? 0) : undefined
    this.coldUntil = report.coldLeftMs === undefined ? undefined : now + report.coldLeftMs
  }

  /** True while the worker is slow after its start. */
  isCold (now: number): boolean {
    return this.coldUntil !== undefined && now < this.coldUntil
  }

  /** Returns the capacity of the worker minus the needs of all runs that may exist there, orphaned runs included. */
  computeFreeCapacity (): TaskNeeds {
    const free = { ...this.capacity }
    for (const run of this.runs) takeNeeds(free, run.task.step.spec)
    for (const orphan of this.orphanedRuns.values()) takeNeeds(free, orphan.needs)
    return free
  }
}

/** Free capacity of a worker; changed in place while tasks are placed. */
export interface FreeCapacity {
  cpuMillis: number
  memoryMb: number
  accelerators: number
}

/** Subtracts a task's needs from the free capacity; the processors of a filling task don't count. */
export function takeNeeds (free: FreeCapacity, needs: TaskNeeds & { readonly isFilling?: boolean }): void {
  free.cpuMillis -= needs.isFilling === true ? 0 : needs.cpuMillis
  free.memoryMb -= needs.memoryMb
  free.accelerators -= needs.accelerators
}

/** Adds a task's needs back to the free capacity; the processors of a filling task don't count. */
export function returnNeeds (free: FreeCapacity, needs: TaskNeeds & { readonly isFilling?: boolean }): void {
  free.cpuMillis += needs.isFilling === true ? 0 : needs.cpuMillis
  free.memoryMb += needs.memoryMb
  free.accelerators += needs.accelerators
}

/** Returns how many tasks with the given needs fit into the free capacity. */
export function countFits (free: TaskNeeds, needs: TaskNeeds & { readonly isFilling?: boolean }): number {
  const cpu = needs.isFilling === true || needs.cpuMillis === 0 ? Infinity : free.cpuMillis / needs.cpuMillis
  const memory = needs.memoryMb === 0 ? Infinity : free.memoryMb / needs.memoryMb
  const accelerators = needs.accelerators === 0 ? Infinity : free.accelerators / needs.accelerators
  return Math.max(0, Math.floor(Math.min(cpu, memory, accelerators)))
}

function isAcknowledgeable (end: RecordedEnd, leadershipConfirmedAt: number): boolean {
  if (end.job === undefined) return leadershipConfirmedAt > end.recordedAt
  return end.job.durableVersion >= end.version
}
