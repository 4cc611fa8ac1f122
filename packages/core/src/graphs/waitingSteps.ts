/**
 * Selects the waiting steps that a scheduler pass considers. A job contributes a limited number of steps, and a step a limited number of tasks; those of a
 * larger job take turns. What a job waits for is listed anew only after the job has changed, so that waiting costs little.
 */
import { listInTurn } from '../listInTurn.js'
import type { JobState, StepState } from './jobState.js'
import { listWaitingSteps } from './waitingStep.js'
import type { WaitingStep } from './waitingStep.js'

/** Maximum number of steps of one job in a pass. */
const MAX_STEPS_PER_JOB = 256
/** Maximum number of tasks of one step in a pass, unless they only run together; the others start in the next passes. */
const MAX_TASKS_PER_STEP = 512

interface JobEntry {
  readonly version: number
  /** The job's last occurrence when the steps were listed; its tasks may be created anew without a change that is stored. */
  readonly lastOccurrence: readonly StepState[] | undefined
  readonly steps: readonly WaitingStep[]
  /** Index of the first step of the next pass. */
  next: number
}

export class WaitingSteps {
  private _isIncomplete = false
  private readonly _jobs = new WeakMap<JobState, JobEntry>()
  /** Index of the first task of the next pass, by step. */
  private readonly _nextTasks = new WeakMap<StepState, number>()

  /** True if the last selection left steps or tasks out. */
  get isIncomplete (): boolean {
    return this._isIncomplete
  }

  /** Selects the steps of the jobs for a pass at `now`, on the planner's clock. */
  select (jobs: readonly JobState[], now: number): WaitingStep[] {
    this._isIncomplete = false
    return jobs.flatMap(job => this._selectSteps(job, now).map(waiting => this._selectTasks(waiting)))
  }

  /** Lets the next pass go on with a step of a job that the last one has left out. */
  resumeAt (job: JobState, step: StepState): void {
    const entry = this._jobs.get(job)
    const index = entry?.steps.findIndex(waiting => waiting.step === step) ?? -1
    if (entry !== undefined && index >= 0) entry.next = index
  }

  private _selectSteps (job: JobState, now: number): readonly WaitingStep[] {
    const entry = this._getEntry(job, now)
    const { steps, next } = entry
    if (steps.length <= MAX_STEPS_PER_JOB) return steps
    this._isIncomplete = true
    const first = next % steps.length
    entry.next = first + MAX_STEPS_PER_JOB
    return listInTurn(steps, first, MAX_STEPS_PER_JOB)
  }

  private _getEntry (job: JobState, now: number): JobEntry {
    const known = this._jobs.get(job)
    if (known !== undefined && known.version === job.version && known.lastOccurrence === job.occurrences.get(job.nextOccurrence - 1)) return known
    const entry: JobEntry = { version: job.version, lastOccurrence: job.occurrences.get(job.nextOccurrence - 1), steps: listWaitingSteps(job, now), next: known?.next ?? 0 }
    this._jobs.set(job, entry)
    return entry
  }

  private _selectTasks (waiting: WaitingStep): WaitingStep {
    const { step, tasks } = waiting
    if (tasks.length <= MAX_TASKS_PER_STEP || step.spec.isGang) return waiting
    this._isIncomplete = true
    const first = (this._nextTasks.get(step) ?? 0) % tasks.length
    this._nextTasks.set(step, first + MAX_TASKS_PER_STEP)
    return { ...waiting, tasks: listInTurn(tasks, first, MAX_TASKS_PER_STEP) }
  }
}
