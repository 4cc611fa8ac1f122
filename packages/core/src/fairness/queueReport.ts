/**
 * Report on the state of a queue for operators: waiting and running requests, shares of the slots, and the wait expected for a new request.
 */
import type { NotRunReason } from '../outcome.js'

/** State of one class within one organisation. Times in milliseconds. */
export interface GroupReport {
  readonly className: string
  readonly organisation: string
  readonly waiting: number
  readonly running: number
  readonly waitingCallers: number
  /** Slots that the group gets as long as the groups with waiting requests stay the same. */
  readonly shareSlots: number
  /** Part of the organisation's guarantee that this queue applies, over all classes. */
  readonly guaranteedSlots: number
  /** Expected wait of a new request whose caller has no other request waiting. */
  readonly expectedWaitMs: number
  readonly meanRunMs: number
  readonly shed: number
}

/** A request that was refused or dropped. */
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
  /** Slots reserved for each class with a start target, by class name. */
  readonly heldBack: Readonly<Record<string, number>>
  readonly groups: readonly GroupReport[]
  readonly recentlyShed: readonly ShedReport[]
}
