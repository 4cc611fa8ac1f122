/**
 * A worker as its agent calls it: starts and stops runs of tasks, and lists them. Everything that runs there lives under one
 * lease, an absolute time of the worker's own clock.
 */
import type { EndListing, RunListing, StartRefusal } from '@dragonflylever/core/graphs/index'

/** A start of one run. */
export interface RunStart {
  readonly task: string
  readonly run: number
  readonly payload: string
  readonly checkpoint: string
  readonly ticket: string | undefined
  /** Number of the planner's duty; the worker refuses a lower one than it has seen. */
  readonly epoch: number
  /** End of the worker's lease on its own clock, in milliseconds. */
  readonly leaseUntil: number
}

/** A request to keep the lease and to list what runs and what ended. */
export interface HoldRequest {
  readonly epoch: number
  /** Ends up to this number may be forgotten. */
  readonly seen: number
  /** End of the lease on the worker's clock; absent to leave it as it is. */
  readonly leaseUntil: number | undefined
  /** How long the worker may wait for an end before it answers, in milliseconds. */
  readonly waitMs: number
}

/** `otherLife`: another life of the worker answered. `lost`: the order may have been carried out, or may be yet. */
export type RunOutcome<T = object> =
  | ({ readonly kind: 'ok', readonly clockMs: number } & T)
  | { readonly kind: 'refused', readonly reason: StartRefusal, readonly clockMs: number | undefined }
  | { readonly kind: 'otherLife' }
  /** `isRefused`: nobody listens at the worker's address. */
  | { readonly kind: 'notSent', readonly message: string, readonly isRefused: boolean }
  | { readonly kind: 'lost', readonly message: string }

/** What a worker lists. */
export interface HoldResult {
  /** Wall time of the worker's start. */
  readonly born: number
  readonly running: readonly RunListing[]
  readonly ended: readonly EndListing[]
}

export interface RunWorker {
  /** Starts a run; a repeat while it is there changes nothing. */
  start (start: RunStart): Promise<RunOutcome>
  /** Stops a run; one that isn't there yet will never start. */
  stop (task: string, run: number, epoch: number): Promise<RunOutcome>
  hold (request: HoldRequest): Promise<RunOutcome<HoldResult>>
  /** Lets a run work at a share of its speed, 0 to 100. */
  pace (task: string, run: number, percent: number, epoch: number): Promise<RunOutcome>
  close (): void
}
