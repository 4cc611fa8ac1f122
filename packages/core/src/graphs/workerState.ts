/**
 * A worker as the planner knows it: facts, runs, what is free, and until when its runs may live without further contact.
 */
import type { TaskNeeds } from './graphTypes.js'
import type { JobState, RunState, WorkerPlace } from './jobState.js'
import type { WorkerReport } from './workerReport.js'

/** A run at the worker that belongs to nothing the planner wants; it is stopped, and counts until it is gone. */
export interface StrayRun {
  readonly task: string
  readonly run: number
  readonly needs: TaskNeeds
}

/** An end that was taken over, with the job's version that holds it and when it was taken, on the planner's clock. */
export interface TakenEnd {
  readonly number: number
  /** Undefined for an end that changes nothing. */
  readonly job: JobState | undefined
  readonly version: number
  readonly takenAt: number
}

export class WorkerState {
  readonly key: WorkerPlace
  readonly runs = new Set<RunState>()
  readonly strays = new Map<string, StrayRun>()
  /** Last report; undefined for a worker known only from records. */
  report: WorkerReport | undefined
  /** When the last report came, on the planner's clock. */
  contactAt = -Infinity
  /** When a list came that was newer than the one before, on the planner's clock. */
  listedAt = -Infinity
  /** When the first report came; undefined before. */
  firstContactAt: number | undefined
  /** Until when its runs may live without further contact, on the planner's clock. */
  aliveUntil: number
  /** Until when a draining worker surely stays, on the planner's clock. */
  drainsUntil: number | undefined
  /** Highest number of an end that was taken over. */
  lastEnd = 0
  /** Ends that were taken over and may not be durable yet, in order. */
  readonly takenEnds: TakenEnd[] = []
  private _seen = 0

  constructor (key: WorkerPlace, aliveUntil: number) {
    this.key = key
    this.aliveUntil = aliveUntil
  }

  /**
   * Returns the number up to which the worker may forget its ends: each is stored, or changes nothing as a planner says that
   * was proven to hold the duty since.
   */
  computeSeen (provenAt: number): number {
    while (this.takenEnds[0] !== undefined && isSettled(this.takenEnds[0], provenAt)) this._seen = Math.max(this._seen, this.takenEnds.shift()?.number ?? 0)
    return this._seen
  }

  get capacity (): TaskNeeds {
    return this.report?.capacity ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
  }

  /** Takes a newer report over. */
  update (report: WorkerReport, now: number): void {
    if (report.listNumber > (this.report?.listNumber ?? 0)) this.listedAt = now
    this.report = report
    this.contactAt = now
    this.firstContactAt ??= now
    this.drainsUntil = report.isDraining ? now + (report.drainLeftMs ?? 0) : undefined
  }

  /** Returns what is free beside all runs that may be there. */
  computeFree (): TaskNeeds {
    const free = { ...this.capacity }
    for (const run of this.runs) takeNeeds(free, run.task.step.spec)
    for (const stray of this.strays.values()) takeNeeds(free, stray.needs)
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

function isSettled (end: TakenEnd, provenAt: number): boolean {
  if (end.job === undefined) return provenAt > end.takenAt
  return end.job.durableVersion >= end.version
}
