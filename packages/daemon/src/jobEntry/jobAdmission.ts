/**
 * Admission of jobs at one entry: the planner's forecast, and the callers that this entry has told to come back. Callers that another entry refused count as new
 * here: passing them on would cost a store call for each refusal.
 */
import { decideAdmission } from '@dragonflylever/core/graphs/index'
import type { AdmissionDecision, AdmissionForecast, QueuePolicy, StepSpec } from '@dragonflylever/core/graphs/index'
import type { Random } from '@dragonflylever/core'

/** Dependencies of {@link JobAdmission}. */
export interface JobAdmissionDependencies {
  /** Returns the forecast in force; undefined if there is none. */
  readonly getForecast: () => AdmissionForecast | undefined
  readonly random: Random
}

/** A job that a client submits. */
export interface SubmittedJob {
  readonly id: string
  readonly queue: QueuePolicy
  readonly organisation: string
  readonly guaranteedAccelerators: number
  readonly steps: readonly StepSpec[]
}

interface RefusedCaller {
  /** Number of times that the job was refused when it came back as told. */
  readonly returns: number
  readonly dueAt: number
}

/** Maximum number of refused jobs that are remembered; the oldest are forgotten. */
const MAX_REFUSED = 2_000
/** How much earlier than told a caller may come back, in milliseconds, since headers carry whole seconds. */
const EARLY_MS = 500

export class JobAdmission {
  private readonly _dependencies: JobAdmissionDependencies
  private readonly _refused = new Map<string, RefusedCaller>()

  constructor (dependencies: JobAdmissionDependencies) {
    this._dependencies = dependencies
  }

  /** Decides whether a job is accepted now. */
  decide (job: SubmittedJob): AdmissionDecision {
    const forecast = this._dependencies.getForecast()
    if (forecast === undefined) {
      this._refused.clear()
      return { kind: 'accepted' }
    }
    const now = performance.now()
    const known = this._refused.get(job.id)
    const returns = known === undefined ? 0 : known.returns + (now >= known.dueAt - EARLY_MS ? 1 : 0)
    const decision = decideAdmission(forecast, { ...job, returns }, this._dependencies.random.sample())
    this._refused.delete(job.id)
    if (decision.kind === 'refused') this._recordRefused(job.id, { returns, dueAt: now + decision.retryAfterMs })
    return decision
  }

  private _recordRefused (jobId: string, caller: RefusedCaller): void {
    this._refused.set(jobId, caller)
    const oldest = this._refused.keys().next()
    if (this._refused.size > MAX_REFUSED && oldest.done !== true) this._refused.delete(oldest.value)
  }
}
