/**
 * Observes the runs at the simulated workers, independently of the planner, and records each violation of an invariant.
 */
import { parseTaskName } from '@dragonflylever/core/graphs/index'
import type { StepSpec } from '@dragonflylever/core/graphs/index'
import type { RunObserver } from './runBehaviour.js'

/** A task under which this number of workers have crashed may be started less than {@link MAX_STARTS_AFTER_CRASHES} times more. */
const MAX_CRASHES = 3
const MAX_STARTS_AFTER_CRASHES = 3

export class GraphInvariantChecker implements RunObserver {
  readonly violations: string[] = []
  /** Names of the tasks of which a run has succeeded. */
  readonly done = new Set<string>()
  /** Number of failed runs, by task name. */
  readonly failures = new Map<string, number>()
  readonly ends = new Map<string, number>()
  starts = 0
  /** For each worker that crashed under a task, the number of runs of other tasks that it took along, by task name. */
  readonly crashCompany = new Map<string, number[]>()
  /** Number of starts of a task since {@link MAX_CRASHES} workers have crashed under it, by task name. */
  private readonly _startsAfterCrashes = new Map<string, number>()
  private readonly _running = new Map<string, Set<string>>()
  private readonly _acknowledgedDone = new Set<string>()
  /** Runs that have succeeded and whose ends are not acknowledged yet, by task name; each with the first start of the task since then, if there was one. */
  private readonly _unacknowledgedDone = new Map<string, Map<number, string | undefined>>()
  private readonly _steps = new Map<string, readonly StepSpec[]>()
  private readonly _refused = new Set<string>()

  /** Registers a submitted job with its steps; tasks of unregistered jobs must not start. */
  addJob (jobId: string, steps: readonly StepSpec[]): void {
    this._steps.set(jobId, steps)
  }

  /** Records that the submission of a job was refused; its tasks must not start. */
  recordRefused (jobId: string): void {
    this._refused.add(jobId)
  }

  onStart (worker: string, task: string, run: number): void {
    this.starts++
    const name = parseTaskName(task)
    const alive = this._running.get(task) ?? new Set<string>()
    this._running.set(task, alive)
    if (alive.size > 0) this._recordViolation(`${task} has two runs at the same time: ${[...alive].join(', ')} and run ${run} at ${worker}`)
    if (this.countCrashes(task) >= MAX_CRASHES) this._recordStartAfterCrashes(worker, task, run)
    if (this._acknowledgedDone.has(task)) this._recordViolation(`${task} started at ${worker} as run ${run} after its end was acknowledged`)
    for (const [done, start] of this._unacknowledgedDone.get(task) ?? []) this._unacknowledgedDone.get(task)?.set(done, start ?? `run ${run} at ${worker}`)
    if (name === undefined || !this._steps.has(name.jobId)) this._recordViolation(`${task} started although no job with this task was submitted`)
    else this._checkPredecessors(name.jobId, name.occurrence, name.step, task)
    if (name !== undefined && this._refused.has(name.jobId)) this._recordViolation(`${task} started although its job was refused`)
    alive.add(`run ${run} at ${worker}`)
  }

  onEnd (worker: string, task: string, run: number, how: string | undefined): void {
    this._running.get(task)?.delete(`run ${run} at ${worker}`)
    if (how === 'done') this._recordDone(task, run)
    if (how === 'failed') this.failures.set(task, (this.failures.get(task) ?? 0) + 1)
    this.ends.set(how ?? 'crashed', (this.ends.get(how ?? 'crashed') ?? 0) + 1)
  }

  onCrash (worker: string, task: string): void {
    const company = this.crashCompany.get(task) ?? []
    this.crashCompany.set(task, [...company, this._countOtherRuns(worker, task)])
  }

  onAcknowledged (worker: string, task: string, run: number, how: string): void {
    if (how !== 'done') return
    this._acknowledgedDone.add(task)
    const start = this._unacknowledgedDone.get(task)?.get(run)
    if (start !== undefined) this._recordViolation(`${task} started as ${start} after run ${run} at ${worker} had succeeded, whose end was acknowledged later`)
    this._unacknowledgedDone.get(task)?.delete(run)
  }

  /** Counts the workers that crashed under a task. */
  countCrashes (task: string): number {
    return this.crashCompany.get(task)?.length ?? 0
  }

  private _recordDone (task: string, run: number): void {
    this.done.add(task)
    const runs = this._unacknowledgedDone.get(task) ?? new Map<number, string | undefined>()
    this._unacknowledgedDone.set(task, runs.set(run, undefined))
  }

  private _countOtherRuns (worker: string, task: string): number {
    let count = 0
    for (const [other, alive] of this._running) if (other !== task) for (const run of alive) if (run.endsWith(` at ${worker}`)) count++
    return count
  }

  /** Counts the runs of a job that are in progress. */
  countRunning (jobId: string): number {
    let count = 0
    for (const [task, alive] of this._running) if (task.startsWith(`${jobId}.`)) count += alive.size
    return count
  }

  /** True while a task has a run. */
  isRunning (task: string): boolean {
    return (this._running.get(task)?.size ?? 0) > 0
  }

  private _checkPredecessors (jobId: string, occurrence: number, index: number, task: string): void {
    const steps = this._steps.get(jobId) ?? []
    for (const before of steps[index]?.after ?? []) {
      for (let number = 0; number < (steps[before]?.count ?? 0); number++) {
        if (!this.done.has(`${jobId}.${occurrence}.${before}.${number}`)) this._recordViolation(`${task} started before task ${before}.${number} of a preceding step had succeeded`)
      }
    }
  }

  private _recordStartAfterCrashes (worker: string, task: string, run: number): void {
    const starts = (this._startsAfterCrashes.get(task) ?? 0) + 1
    this._startsAfterCrashes.set(task, starts)
    if (starts >= MAX_STARTS_AFTER_CRASHES) this._recordViolation(`${task} started at ${worker} as run ${run}, the start number ${starts} since ${MAX_CRASHES} workers had crashed under it`)
  }

  private _recordViolation (text: string): void {
    this.violations.push(`${Math.round(performance.now())} ms: ${text}`)
  }
}
