/**
 * Changes the state of runs and of the steps and jobs that depend on them. All changes that must be stored are made here.
 */
import { isGivenUp } from './crashBlame.js'
import { JobPhase, RunEnd, isFinalPhase } from './graphTypes.js'
import { createRun } from './jobProgress.js'
import { RunPhase, addFailedWorker, isActive, listTasks, markChanged, markPartChanged, markTaskChanged, saveCheckpoint } from './jobState.js'
import type { JobState, RunState, StepState, TaskState } from './jobState.js'
import { isJobDone } from './occurrences.js'
import type { PlannerLog } from './plannerLog.js'
import type { RunTimeEstimator } from './runTimeEstimator.js'
import type { RunTimeMeter } from './runTimeMeter.js'
import { StartRefusal } from './workerReport.js'
import type { WorkerState } from './workerState.js'
import type { WorkerHealthTracker } from './workerHealthTracker.js'

/** Dependencies of {@link RunTracker}. */
export interface RunTrackerDependencies {
  readonly log: PlannerLog
  readonly workerHealth: WorkerHealthTracker
  readonly runTimes: RunTimeEstimator
  readonly runTimeMeter: RunTimeMeter
  /** Returns the time of day in milliseconds since 1970. */
  readonly getWallTime: () => number
  /** Returns the worker of a run; undefined when that incarnation is unknown. */
  readonly getWorker: (run: RunState) => WorkerState | undefined
}

/** Crash of a worker right after a run of a task had started there. */
export interface WorkerCrash {
  /** Number of the run. */
  readonly run: number
  readonly address: string
  /** True if no run of another step, or of another task outside gangs, can have caused the crash. */
  readonly isSole: boolean
}

export class RunTracker {
  private readonly _dependencies: RunTrackerDependencies

  constructor (dependencies: RunTrackerDependencies) {
    this._dependencies = dependencies
  }

  /** Creates the runs of tasks of one step that start together on the given workers. The members of a gang share the run number. */
  start (placed: ReadonlyArray<{ readonly task: TaskState, readonly worker: WorkerState, readonly ticket: string | undefined }>, now: number): RunState[] {
    const first = placed[0]
    if (first === undefined) return []
    const { step } = first.task
    const { job } = step
    if (job.phase === JobPhase.queued) markChanged(job)
    // All runs get the last of these versions, so that the members of a gang are started once all of them are stored.
    for (const part of new Set(placed.map(({ task }) => task.part))) markPartChanged(job, part)
    step.readySince = undefined
    const gangRun = Math.max(...step.tasks.map(task => task.lastRun)) + 1
    const hasColdWorker = placed.some(({ worker }) => worker.isCold(now))
    return placed.map(({ task, worker, ticket }) => {
      task.lastRun = step.spec.isGang ? gangRun : task.lastRun + 1
      const run = createRun(task, task.lastRun, worker.key, job.version, now, ticket)
      run.wasCold = step.spec.isGang ? hasColdWorker : worker.isCold(now)
      task.runs.push(run)
      job.runCount++
      worker.runs.add(run)
      this._dependencies.log.note('run assigned', { task: task.name, run: run.number, worker: worker.key.id, checkpoint: task.checkpoint })
      return run
    })
  }

  /** Records that a worker has started a run. */
  markRunning (run: RunState, now: number): void {
    if (run.phase === RunPhase.assigned) run.phase = RunPhase.running
    if (run.runningSince !== undefined) return
    run.runningSince = now
    run.percentChangedAt = now
    const { job } = run.task.step
    this._dependencies.log.note('run begun', { task: run.task.name, run: run.number, worker: run.worker.id, afterMs: now - run.assignedAt })
    if (job.phase !== JobPhase.queued) return
    job.phase = JobPhase.running
    markChanged(job)
  }

  /** Records that a run is at a worker that is slow after its start. The members of a gang end together, so this slows all of them. */
  markCold (run: RunState): void {
    if (run.wasCold) return
    const { step } = run.task
    for (const member of step.spec.isGang ? step.tasks.flatMap(task => task.runs) : [run]) member.wasCold = true
  }

  /** Requests that a run stops. The run counts against its worker's capacity until its end is known. */
  stop (run: RunState, reason: string, now: number): void {
    if (run.phase === RunPhase.stopping) return
    run.phase = RunPhase.stopping
    run.stoppingSince = now
    run.stopReason = reason
    this._dependencies.log.note('run stopping', { task: run.task.name, run: run.number, worker: run.worker.id, reason })
  }

  /** Requests that all runs of a step stop. */
  stopStep (step: StepState, reason: string, now: number): void {
    for (const task of step.tasks) for (const run of task.runs) this.stop(run, reason, now)
  }

  /** Requests that a run stops for `reason` or, when it belongs to a gang, that all runs of its step stop for `gangReason`. */
  stopWithGang (run: RunState, reason: string, gangReason: string, now: number): void {
    if (run.task.step.spec.isGang) this.stopStep(run.task.step, gangReason, now)
    else this.stop(run, reason, now)
  }

  /** Records how a run ended at its worker. */
  recordEnd (run: RunState, how: RunEnd, checkpoint: string, now: number): void {
    const { task } = run
    this._removeRun(run, now)
    saveCheckpoint(task, checkpoint)
    this._dependencies.log.note('run ended', { task: task.name, run: run.number, worker: run.worker.id, how, forMs: run.runningSince === undefined ? 0 : now - run.runningSince, reason: run.stopReason })
    // A task that lasts runs until its job is cancelled, however its runs end.
    if (how === RunEnd.done && !task.step.spec.isLongRunning) this._finishRun(run, now)
    else if (how === RunEnd.failed) this._failRun(run, now)
    else this._interruptRun(run, now)
  }

  /** Declares a run lost, although its end was not reported, because its start had no effect or its worker can no longer execute it. */
  markLost (run: RunState, reason: string, now: number): void {
    this._removeRun(run, now)
    this._dependencies.log.note('run lost', { task: run.task.name, run: run.number, worker: run.worker.id, reason })
    this._interruptRun(run, now)
  }

  /** Declares a run lost because the worker refused to start it. */
  markRefused (run: RunState, reason: string, now: number): void {
    if (reason === StartRefusal.unhealthy) this._dependencies.workerHealth.recordRefusal(run, now)
    this.markLost(run, `refused: ${reason}`, now)
  }

  /**
   * Records that a worker crashed right after the start of a run. Crashes are reported more than once, also to later planners; each run counts once. The
   * job fails when the task is given up.
   */
  recordCrash (task: TaskState, crash: WorkerCrash, now: number): void {
    const { run, address, isSole } = crash
    if (run <= task.lastCrashedRun || run > task.lastRun || task.isDone) return
    task.lastCrashedRun = run
    task.crashes++
    if (isSole) task.soleCrashes++
    const { job } = task.step
    markTaskChanged(task)
    this._dependencies.log.note('worker crashed under a task', { task: task.name, run, address, isSole, crashes: task.crashes })
    if (isActive(job) && isGivenUp(task)) this.endJob(job, JobPhase.failed, `${task.name} crashed ${task.crashes} workers`, now)
  }

  /** Records that a worker has survived a run of a task, so that the task did not cause earlier crashes. */
  clearCrashes (task: TaskState): void {
    if (task.crashes === 0) return
    task.crashes = 0
    task.soleCrashes = 0
    markTaskChanged(task)
    this._dependencies.log.note('task cleared of worker crashes', { task: task.name })
  }

  /** Marks a task as done after a run of the task that had been declared lost has reported success. Newer runs of the task are stopped. */
  finishTaskOfLostRun (task: TaskState, now: number): void {
    if (task.isDone) return
    this._finishTask(task, now)
  }

  /** Ends a job and stops its runs. */
  endJob (job: JobState, phase: JobPhase, reason: string, now: number): void {
    if (isFinalPhase(job.phase)) return
    job.phase = phase
    job.endedAt = this._dependencies.getWallTime()
    markChanged(job)
    this._dependencies.log.note('job ended', { job: job.graph.id, phase, reason, forMs: job.endedAt - job.graph.acceptedAt })
    for (const task of listTasks(job)) for (const run of task.runs) this.stop(run, `job ${phase}`, now)
  }

  private _removeRun (run: RunState, now: number): void {
    const { runs } = run.task
    const index = runs.indexOf(run)
    if (index >= 0) {
      runs.splice(index, 1)
      run.task.step.job.runCount--
      run.task.step.job.idleSince = now
    }
    this._dependencies.getWorker(run)?.runs.delete(run)
    markTaskChanged(run.task)
  }

  private _finishRun (run: RunState, now: number): void {
    this._dependencies.workerHealth.recordDone(run, now)
    // The other members of a gang report the same end after the first.
    if (!run.task.isDone) this._learnRunTimes(run, now)
    this._finishTask(run.task, now)
  }

  private _learnRunTimes (run: RunState, now: number): void {
    const { runTimes, runTimeMeter, log } = this._dependencies
    const { step } = run.task
    const timesMs = runTimeMeter.measure(run, now)
    const usualMs = runTimes.estimateStragglerTime(step)
    if (timesMs.some(ms => ms > usualMs)) log.note('task took unusually long', { task: run.task.name, worker: run.worker.id, ms: Math.max(...timesMs), usualMs, declaredMs: step.spec.estimatedMs })
    runTimes.learnRunTimes(step, timesMs)
  }

  /** Marks a task as done; all tasks of a gang are done as soon as one of them is done. */
  private _finishTask (task: TaskState, now: number): void {
    const { step } = task
    for (const member of step.spec.isGang ? step.tasks : [task]) this._markTaskDone(member, now)
    if (isJobDone(step.job)) this.endJob(step.job, JobPhase.completed, 'all tasks are done', now)
  }

  private _markTaskDone (task: TaskState, now: number): void {
    if (task.isDone) return
    task.isDone = true
    task.step.remaining--
    markTaskChanged(task)
    for (const run of task.runs) this.stop(run, 'the task is done', now)
  }

  private _failRun (run: RunState, now: number): void {
    const { task } = run
    const { step } = task
    addFailedWorker(task, run.worker.id)
    this._dependencies.workerHealth.recordFailure(run, now)
    if (step.spec.isGang) this._failGang(run, now)
    else if (!step.spec.isLongRunning) task.failures++
    const failures = step.spec.isGang ? step.gangFailures : task.failures
    const { job } = step
    if (!step.spec.isLongRunning && isActive(job) && failures >= job.graph.queue.maxAttempts) this.endJob(job, JobPhase.failed, `${task.name} failed ${failures} times`, now)
  }

  /** Counts the failure of a gang and stops its other members. Failures of several members with the same run number count once. */
  private _failGang (run: RunState, now: number): void {
    const { step } = run.task
    // The first task's part holds the failures of a gang.
    if (step.tasks[0] !== undefined) markTaskChanged(step.tasks[0])
    if (!step.spec.isLongRunning && step.failedRun < run.number) step.gangFailures++
    step.failedRun = Math.max(step.failedRun, run.number)
    this.stopStep(step, 'a member of the gang failed', now)
  }

  private _interruptRun (run: RunState, now: number): void {
    const { step } = run.task
    if (step.spec.isGang && step.remaining > 0) this.stopStep(step, 'a member of the gang ended', now)
    step.readySince ??= now
  }
}
