/**
 * Interface of an agent to its worker, which starts, stops and lists runs of tasks. All runs of a worker share one lease, which ends at an
 * absolute time on the worker's own clock.
 */
import type { EndListing, RunListing, StartRefusal } from '@dragonflylever/core/graphs/index'

/** Request to start one run. */
export interface RunStart {
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

/** Request to extend the lease and to list the running and the ended runs. */
export interface HoldRequest {
  readonly epoch: number
  /** Number up to which ends are acknowledged; the worker may forget them. */
  readonly seen: number
  /** New end of the lease on the worker's clock, in milliseconds; undefined to leave the lease unchanged. */
  readonly leaseUntil: number | undefined
  /** How long the worker may wait for the end of a run before it answers (long poll), in milliseconds. */
  readonly waitMs: number
}

/** Outcome of a call. `otherLife`: another incarnation of the worker answered. `lost`: the worker may have executed the call, or may still do so. */
export type RunOutcome<T = object> =
  | ({ readonly kind: 'ok', readonly clockMs: number } & T)
  | { readonly kind: 'refused', readonly reason: StartRefusal, readonly clockMs: number | undefined }
  | { readonly kind: 'otherIncarnation' }
  /** `isRefused`: the connection was refused, so no process listens at the worker's address. */
  | { readonly kind: 'notSent', readonly message: string, readonly isRefused: boolean }
  | { readonly kind: 'lost', readonly message: string }

/** Runs that a worker lists. */
export interface HoldResult {
  /** Wall time at which the worker started. */
  readonly born: number
  readonly running: readonly RunListing[]
  readonly ended: readonly EndListing[]
}

export interface RunWorker {
  /** Starts a run; a repeat while the worker knows the run changes nothing. */
  start (start: RunStart): Promise<RunOutcome>
  /** Stops a run; a run that the worker does not know yet will never start. */
  stop (task: string, run: number, epoch: number): Promise<RunOutcome>
  /** Extends the lease and lists the runs. */
  hold (request: HoldRequest): Promise<RunOutcome<HoldResult>>
  /** Throttles a run to a percentage of its full speed, 0 to 100. */
  pace (task: string, run: number, percent: number, epoch: number): Promise<RunOutcome>
  close (): void
}
