/**
 * Bounds the work of a scheduler pass, whatever waits. A step for which there is no room costs about as much as one that starts, and each pass would look for
 * it again. A step that has the same needs as one of its occurrence that found no room is left out, a job gets a limited number of attempts without success
 * and goes on with its next steps in the next pass, and when the work of a pass is used up, the jobs that it has not reached come first in the next one.
 */
import type { StepSpec } from './graphTypes.js'
import type { JobState, StepState, TaskState } from './jobState.js'
import type { WaitingStep } from './waitingStep.js'

/** Maximum work of a pass, in checks of one worker or one run for one step. */
const MAX_CHECKS = 400_000
/** Maximum number of steps of one job in a pass that find no room. */
const MAX_FAILED_STEPS = 64
/** Number of steps without room that are remembered of one occurrence in a pass. */
const MAX_REMEMBERED_STEPS = 8

/** What the pass has tried for an occurrence without success. */
interface FailedSteps {
  readonly steps: WaitingStep[]
  /** Number of times that capacity had been given back in the pass when the last of them failed. */
  returns: number
}

export class PassBudget {
  private _checksLeft = 0
  private readonly _failures = new Map<JobState, number>()
  private readonly _failedSteps = new Map<readonly StepState[] | undefined, FailedSteps>()
  /** Number of passes in a row that have not reached a job. */
  private _missedPasses: ReadonlyMap<JobState, number> = new Map()
  /** First step of each job that got no attempt, since its job had used up its own. */
  private readonly _skipped = new Map<JobState, StepState>()

  /** First step of each job that the pass has left out, since its job had used up its attempts. */
  get skipped (): ReadonlyMap<JobState, StepState> {
    return this._skipped
  }

  /** True if the pass has left steps out that might have room. */
  get isIncomplete (): boolean {
    return this._skipped.size > 0 || this._missedPasses.size > 0
  }

  /** Begins a scheduler pass. Returns its steps in the order in which to place them: those of jobs that the last passes have not reached come first. */
  beginPass (waiting: readonly WaitingStep[]): readonly WaitingStep[] {
    this._checksLeft = MAX_CHECKS
    this._failures.clear()
    this._failedSteps.clear()
    this._skipped.clear()
    if (this._missedPasses.size === 0) return waiting
    const getMissed = ({ step }: WaitingStep): number => this._missedPasses.get(step.job) ?? 0
    return [...waiting].sort((a, b) => getMissed(b) - getMissed(a))
  }

  /** Forgets what earlier passes have left out, as nothing waits any more. */
  clear (): void {
    this._skipped.clear()
    this._missedPasses = new Map()
  }

  /** Ends a pass that has reached all its steps. */
  endPass (): void {
    this._missedPasses = new Map()
  }

  /** True if no work is left for the pass. The jobs of the steps from `index` on come first in the next one. */
  isOver (waiting: readonly WaitingStep[], index: number): boolean {
    if (this._checksLeft > 0) return false
    const missed = new Map<JobState, number>()
    for (const { step } of waiting.slice(index)) missed.set(step.job, (this._missedPasses.get(step.job) ?? 0) + 1)
    this._missedPasses = missed
    return true
  }

  /** Records work that was done, in checks of one worker or one run. */
  recordChecks (count: number): void {
    this._checksLeft -= count
  }

  /** True if the pass need not look for room for a step. `returns` is the number of times that capacity was given back in the pass. */
  isHopeless (waiting: WaitingStep, returns: number): boolean {
    const { step, tasks } = waiting
    if ((this._failures.get(step.job) ?? 0) >= MAX_FAILED_STEPS) {
      if (!this._skipped.has(step.job)) this._skipped.set(step.job, step)
      return true
    }
    const failed = this._failedSteps.get(getMembers(step))
    return failed !== undefined && failed.returns === returns && tasks.every(isFresh) && failed.steps.some(other => isAsDemanding(waiting, other))
  }

  /** Records that nothing was placed, reserved or reclaimed for a step. */
  recordFailure (waiting: WaitingStep, returns: number): void {
    const { step, tasks } = waiting
    this._failures.set(step.job, (this._failures.get(step.job) ?? 0) + 1)
    if (!tasks.every(isFresh)) return
    const members = getMembers(step)
    const failed = this._failedSteps.get(members) ?? { steps: [], returns }
    if (failed.returns !== returns) failed.steps.length = 0
    failed.returns = returns
    if (failed.steps.length < MAX_REMEMBERED_STEPS) failed.steps.push(waiting)
    this._failedSteps.set(members, failed)
  }
}

function getMembers ({ job, occurrence }: StepState): readonly StepState[] | undefined {
  return job.occurrences.get(occurrence)
}

/** True for a task without a history, which can decide where it may run. */
function isFresh (task: TaskState): boolean {
  return task.lastRun === 0 && task.crashes === 0
}

/** True if a step finds no room where another step of its occurrence has found none: it needs as much or more of the same kind, and has waited as long. */
function isAsDemanding (waiting: WaitingStep, failed: WaitingStep): boolean {
  const [spec, other] = [waiting.step.spec, failed.step.spec]
  return waiting.since === failed.since && waiting.tasks.length >= failed.tasks.length && hasSameKind(spec, other) &&
    spec.cpuMillis >= other.cpuMillis && spec.memoryMb >= other.memoryMb && spec.accelerators >= other.accelerators
}

function hasSameKind (spec: StepSpec, other: StepSpec): boolean {
  return spec.requiredLabel === other.requiredLabel && spec.dataRack === other.dataRack && spec.maxPerWorker === other.maxPerWorker &&
    spec.isGang === other.isGang && spec.isSameRack === other.isSameRack && spec.isFilling === other.isFilling && spec.isLongRunning === other.isLongRunning &&
    spec.isCheckpointing === other.isCheckpointing && spec.estimatedMs === other.estimatedMs
}
