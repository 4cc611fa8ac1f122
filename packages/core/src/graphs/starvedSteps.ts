/**
 * Finds the steps that wait although most of their service is free. They may use slots that others avoid, and one task of each such job gets room before other
 * work does, also room that is kept for a gang.
 */
import { listInTurn } from '../listInTurn.js'
import type { JobState, StepState } from './jobState.js'
import { ServiceUse } from './serviceUse.js'
import type { WaitingStep } from './waitingStep.js'
import type { WorkerState } from './workerState.js'

/**
 * Time in milliseconds for which a step has waited and its job has had no run, after which the step counts as starved if half of its service is free. The requirements allow a wait of 3 s.
 */
const STARVATION_MS = 1_500
/** Wait in milliseconds after which a step that lasts counts as starved, whatever else its job and its service run. The requirements allow 9 s after a run has ended. */
const LASTING_STARVATION_MS = 5_000
/**
 * Time after its acceptance for which a job may have to wait for a gang in turn, in milliseconds. The requirements limit
 * waits from 14 s after the last job was accepted.
 */
const NEW_JOB_MS = 10_000
/** Maximum number of jobs of which a step is listed in one pass; each costs a placement. */
const MAX_LISTED_JOBS = 64

export class StarvedSteps {
  private readonly _steps = new Set<StepState>()
  private _byJob: ReadonlyMap<JobState, readonly WaitingStep[]> = new Map()
  /** Number of passes, which decides whose turn it is. */
  private _passes = 0

  /** Begins a scheduler pass: finds the starved ones of the waiting steps. `workers` are those whose capacity counts. */
  beginPass (waiting: readonly WaitingStep[], workers: readonly WorkerState[], now: number): void {
    this._passes++
    this._steps.clear()
    const use = new ServiceUse(workers)
    for (const { step, since } of waiting) {
      const { job, spec } = step
      const isIdle = job.runCount === 0 && now - Math.max(since, job.idleSince) > STARVATION_MS && use.isMostlyFree(job.graph.queue.service)
      if (isIdle || (spec.isLongRunning && now - since > LASTING_STARVATION_MS)) this._steps.add(step)
    }
    this._byJob = groupByJob(waiting.filter(({ step }) => this._steps.has(step)))
  }

  has (step: StepState): boolean {
    return this._steps.has(step)
  }

  /** Lists one starved step of each job, the longest wait first; the steps of a job, and jobs beyond {@link MAX_LISTED_JOBS}, take turns from pass to pass. */
  listByJob (): WaitingStep[] {
    const jobs = [...this._byJob.values()]
    const listed = listInTurn(jobs, this._passes * MAX_LISTED_JOBS % Math.max(1, jobs.length), MAX_LISTED_JOBS)
    return listed.flatMap(steps => steps[this._passes % steps.length] ?? []).sort((a, b) => a.since - b.since)
  }
}

/** True if a job was accepted so recently that it may have to wait for a gang in turn; `wallTime` is in milliseconds since 1970. */
export function isNewJob ({ graph }: JobState, wallTime: number): boolean {
  const ageMs = wallTime - graph.acceptedAt
  return ageMs >= 0 && ageMs < NEW_JOB_MS
}

function groupByJob (steps: readonly WaitingStep[]): Map<JobState, WaitingStep[]> {
  const byJob = new Map<JobState, WaitingStep[]>()
  for (const waiting of steps) {
    const { job } = waiting.step
    const known = byJob.get(job)
    if (known === undefined) byJob.set(job, [waiting])
    else known.push(waiting)
  }
  return byJob
}
