/**
 * Report on the state of a queue for operators: waiting and running requests, shares of the slots, and the wait expected for a new request.
 */
import type { NotRunReason } from '../outcome.js'

/** State of the requests of one class and one organisation. Times are in milliseconds. */
export interface GroupReport {
  readonly className: string
  readonly organisation: string
  readonly waiting: number
  readonly running: number
  readonly waitingCallers: number
  /** Number of slots that the group gets as long as the set of groups with waiting requests does not change. */
  readonly shareSlots: number
  /** Number of slots of this queue that are guaranteed to the organisation, for all classes together. */
  readonly guaranteedSlots: number
  /** Expected wait of a new request whose caller has no other request waiting. */
  readonly expectedWaitMs: number
  readonly meanRunMs: number
  readonly shed: number
}

/** A request that the queue refused or shed. */
export interface ShedReport {
  readonly at: number
  readonly className: string
  readonly organisation: string
  readonly caller: string
  readonly reason: NotRunReason
  readonly retryAfterMs: number
}

export interface QueueReport {
  readonly slots: number
  readonly running: number
  readonly waiting: number
  /** Number of slots reserved for each class with a start target, by class name. */
  readonly heldBack: Readonly<Record<string, number>>
  readonly groups: readonly GroupReport[]
  readonly recentlyShed: readonly ShedReport[]
}
