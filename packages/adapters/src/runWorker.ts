/**
 * Interface of an agent to its worker, which starts, stops and lists runs of tasks. All runs of a worker share one lease, which ends at an
 * absolute time on the worker's own clock.
 */
import type { EndListing, RunListing, StartRefusal } from '@dragonflylever/core/graphs/index'

/** Request to start one run. */
export interface RunStartRequest {
  readonly task: string
  readonly run: number
  readonly payload: string
  readonly checkpoint: string
  readonly ticket: string | undefined
  /** Epoch of the leading planner; the worker rejects an epoch lower than the highest it has seen. */
  readonly epoch: number
  /** End of the worker's lease on the worker's clock, in milliseconds. */
  readonly leaseUntil: number
}

/** Request to extend the worker's lease and to list the runs in progress and the runs that have ended. */
export interface HoldRequest {
  readonly epoch: number
  /** Number of the last run end that the planner has acknowledged; the worker may discard its records of that end and of all earlier ends. */
  readonly seen: number
  /** New end of the lease on the worker's clock, in milliseconds; undefined to leave the lease unchanged. */
  readonly leaseUntil: number | undefined
  /** How long the worker may wait for the end of a run before it answers (long poll), in milliseconds. */
  readonly waitMs: number
}

/**
 * Outcome of a call to a worker. `otherIncarnation`: another incarnation of the worker answered. `lost`: no answer arrived, and the worker
 * may have executed the call or may still execute it.
 */
export type RunOutcome<T = object> =
  | ({ readonly kind: 'ok', readonly clockMs: number } & T)
  | { readonly kind: 'refused', readonly reason: StartRefusal, readonly clockMs: number | undefined }
  | { readonly kind: 'otherIncarnation' }
  /** `isRefused`: the connection was refused, so no process listens at the worker's address. */
  | { readonly kind: 'notSent', readonly message: string, readonly isRefused: boolean }
  | { readonly kind: 'lost', readonly message: string }

/** The runs in progress at a worker, and the ended runs whose ends the planner has not acknowledged yet. */
export interface HoldResult {
  /** Wall time at which the worker started, in milliseconds; identifies its incarnation. */
  readonly born: number
  readonly running: readonly RunListing[]
  readonly ended: readonly EndListing[]
  /** True if the worker may have ended runs that the list of ends lacks: it lists a limited number, and the others once these are acknowledged. */
  readonly hasMoreEnds?: boolean
}

export interface RunWorker {
  /** Starts a run. Repeating the call for a run that the worker knows has no effect. */
  start (start: RunStartRequest): Promise<RunOutcome>
  /** Stops a run. If the worker does not know the run yet, a later start of it is rejected. */
  stop (task: string, run: number, epoch: number): Promise<RunOutcome>
  /** Extends the lease of all runs and lists the runs. The worker may delay its answer until a run ends (long poll). */
  hold (request: HoldRequest): Promise<RunOutcome<HoldResult>>
  /** Throttles a run to a percentage of its full speed, 0 to 100. */
  pace (task: string, run: number, percent: number, epoch: number): Promise<RunOutcome>
  close (): void
}
