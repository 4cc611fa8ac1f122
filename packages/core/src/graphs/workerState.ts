/**
 * A worker as the planner knows it: facts, runs, what is free, and until when its runs may live without further contact.
 */
import type { TaskNeeds } from './graphTypes.js'
import type { JobState, RunState, WorkerLocation } from './jobState.js'
import type { WorkerReport } from './workerReport.js'

/** A run at the worker that belongs to nothing the planner wants; it is stopped, and counts until it is gone. */
export interface OrphanedRun {
  readonly task: string
  readonly run: number
  readonly needs: TaskNeeds
}

/** An end that was taken over, with the job's version that holds it and when it was taken, on the planner's clock. */
export interface RecordedEnd {
  readonly number: number
  /** Undefined for an end that changes nothing. */
  readonly job: JobState | undefined
  readonly version: number
  readonly recordedAt: number
}

export class WorkerState {
  readonly key: WorkerLocation
  readonly runs = new Set<RunState>()
  readonly orphanedRuns = new Map<string, OrphanedRun>()
  /** Last report; undefined for a worker known only from records. */
  report: WorkerReport | undefined
  /** When the last report came, on the planner's clock. */
  lastReportAt = -Infinity
  /** When a list came that was newer than the one before, on the planner's clock. */
  listedAt = -Infinity
  /** When the first report came; undefined before. */
  firstReportAt: number | undefined
  /** Until when its runs may live without further contact, on the planner's clock. */
  aliveUntil: number
  /** Until when a draining worker surely stays, on the planner's clock. */
  drainsUntil: number | undefined
  /** Highest number of an end that was taken over. */
  lastEndNumber = 0
  /** Ends that were taken over and may not be durable yet, in order. */
  readonly recordedEnds: RecordedEnd[] = []
  private _acknowledged = 0

  constructor (key: WorkerLocation, aliveUntil: number) {
    this.key = key
    this.aliveUntil = aliveUntil
  }

  /**
   * Returns the number up to which the worker may forget its ends: each is stored, or changes nothing as a planner says that
   * was proven to hold the duty since.
   */
  computeAcknowledged (leadershipConfirmedAt: number): number {
    while (this.recordedEnds[0] !== undefined && isAcknowledgeable(this.recordedEnds[0], leadershipConfirmedAt)) this._acknowledged = Math.max(this._acknowledged, this.recordedEnds.shift()?.number ?? 0)
    return this._acknowledged
  }

  get capacity (): TaskNeeds {
    return this.report?.capacity ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
  }

  /** Takes a newer report over. */
  update (report: WorkerReport, now: number): void {
    if (report.listNumber > (this.report?.listNumber ?? 0)) this.listedAt = now
    this.report = report
    this.lastReportAt = now
    this.firstReportAt ??= now
    this.drainsUntil = report.isDraining ? now + (report.drainLeftMs ?? 0) : undefined
  }

  /** Returns what is free beside all runs that may be there. */
  computeFreeCapacity (): TaskNeeds {
    const free = { ...this.capacity }
    for (const run of this.runs) takeNeeds(free, run.task.step.spec)
    for (const orphan of this.orphanedRuns.values()) takeNeeds(free, orphan.needs)
    return free
  }
}

/** What is free; changed in place while tasks are placed. */
export interface FreeCapacity {
  cpuMillis: number
  memoryMb: number
  accelerators: number
}

/** Takes what a task needs from what is free; the processors of a filling task don't count. */
export function takeNeeds (free: FreeCapacity, needs: TaskNeeds & { readonly isFilling?: boolean }): void {
  free.cpuMillis -= needs.isFilling === true ? 0 : needs.cpuMillis
  free.memoryMb -= needs.memoryMb
  free.accelerators -= needs.accelerators
}

/** Gives back what a task needs. */
export function returnNeeds (free: FreeCapacity, needs: TaskNeeds & { readonly isFilling?: boolean }): void {
  free.cpuMillis += needs.isFilling === true ? 0 : needs.cpuMillis
  free.memoryMb += needs.memoryMb
  free.accelerators += needs.accelerators
}

/** Returns how many tasks of these needs fit. */
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
