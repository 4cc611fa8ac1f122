/**
 * Read-out of a queue for people: who waits, who runs, what share each has, how long a new request would wait.
 */
import type { NotRunReason } from '../outcome.js'

/** State of one class within one organisation. Times in milliseconds. */
export interface GroupReport {
  readonly className: string
  readonly organisation: string
  readonly waiting: number
  readonly running: number
  readonly waitingCallers: number
  /** Slots that the group gets while everyone who waits now goes on waiting. */
  readonly shareSlots: number
  /** Part of the organisation's guarantee that this queue applies, over all classes. */
  readonly guaranteedSlots: number
  /** Wait expected for a request of a caller that has none waiting. */
  readonly expectedWaitMs: number
  readonly meanRunMs: number
  readonly shed: number
}

/** One request that was refused or dropped. */
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
  /** Slots kept free for each class with a start target, by class. */
  readonly heldBack: Readonly<Record<string, number>>
  readonly groups: readonly GroupReport[]
  readonly recentlyShed: readonly ShedReport[]
}
