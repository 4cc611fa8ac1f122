/**
 * Tracks the attempts dispatched to an agent, so that the agent can confirm that an attempt never started.
 * A withdrawn attempt stays recorded, so that its dispatch is refused when it arrives later.
 */

/** State of an attempt at the agent. */
export const AttemptState = {
  waiting: 'waiting',
  running: 'running',
  finished: 'finished',
  withdrawn: 'withdrawn'
} as const
export type AttemptState = typeof AttemptState[keyof typeof AttemptState]

/**
 * Result of the withdrawal of an attempt. `neverStarted` guarantees that the attempt has not started and never will; `cannotVouch` means
 * that the agent doesn't know whether it has started.
 */
export type WithdrawResult = 'neverStarted' | 'started' | 'cannotVouch'

/** Result of {@link AttemptTracker.acceptDispatch}: why an arriving dispatch is accepted or refused. */
export type AcceptResult = 'accepted' | 'withdrawn' | 'duplicate' | 'full'

/** Limits of an {@link AttemptTracker}. */
export interface AttemptTrackerOptions {
  /** Maximum number of attempts tracked at the same time, including finished and withdrawn ones. */
  readonly maxEntries: number
  /** How long a finished or withdrawn attempt is tracked, in milliseconds. Must exceed the time that a dispatch can take to arrive. */
  readonly retentionMs: number
}

interface TrackedAttempt {
  state: AttemptState
  endedAt: number
}

/** States of the attempts of one agent by attempt id. An attempt id is never reused. */
export class AttemptTracker {
  private readonly _options: AttemptTrackerOptions
  private readonly _entries = new Map<string, TrackedAttempt>()
  private readonly _finishedAt = new Map<string, number>()
  private readonly _withdrawnAt = new Map<string, number>()
  private _evictedUntil = -Infinity

  constructor (options: AttemptTrackerOptions) {
    this._options = options
  }

  /** Number of attempts tracked. */
  get size (): number {
    return this._entries.size
  }

  /** Returns the state of an attempt, or undefined when the attempt is not tracked. */
  getState (attemptId: string): AttemptState | undefined {
    return this._entries.get(attemptId)?.state
  }

  /** Records the arrival of a dispatch. The attempt may wait for a slot only when the result is `accepted`. */
  acceptDispatch (attemptId: string, now: number): AcceptResult {
    const known = this._entries.get(attemptId)
    if (known !== undefined) return known.state === AttemptState.withdrawn ? 'withdrawn' : 'duplicate'
    this._expireEnded(now)
    if (this._entries.size >= this._options.maxEntries && !this._evictFinished()) return 'full'
    this._entries.set(attemptId, { state: AttemptState.waiting, endedAt: Infinity })
    return 'accepted'
  }

  /** Records the start of an attempt. Returns false when the attempt must not start, for instance because it was withdrawn in the meantime. */
  start (attemptId: string): boolean {
    const entry = this._entries.get(attemptId)
    if (entry === undefined || entry.state !== AttemptState.waiting) return false
    entry.state = AttemptState.running
    return true
  }

  /** Records the end of a started attempt. */
  finish (attemptId: string, now: number): void {
    this._recordEnd(attemptId, AttemptState.finished, now)
  }

  /** Withdraws an attempt, whose dispatch may not have arrived yet. */
  withdraw (attemptId: string, now: number): WithdrawResult {
    const state = this._entries.get(attemptId)?.state
    if (state === AttemptState.running || state === AttemptState.finished) return 'started'
    if (state === undefined && this._entries.size >= this._options.maxEntries) {
      this._expireEnded(now)
      if (this._entries.size >= this._options.maxEntries && !this._evictFinished()) return 'cannotVouch'
    }
    this._recordEnd(attemptId, AttemptState.withdrawn, now)
    const mayBeEvicted = state === undefined && now < this._evictedUntil
    return mayBeEvicted ? 'cannotVouch' : 'neverStarted'
  }

  private _recordEnd (attemptId: string, state: AttemptState, now: number): void {
    this._entries.set(attemptId, { state, endedAt: now })
    const ended = state === AttemptState.finished ? this._finishedAt : this._withdrawnAt
    ended.set(attemptId, now)
  }

  private _expireEnded (now: number): void {
    for (const ended of [this._finishedAt, this._withdrawnAt]) {
      for (const [attemptId, endedAt] of ended) {
        if (endedAt + this._options.retentionMs > now) break
        ended.delete(attemptId)
        this._entries.delete(attemptId)
      }
    }
  }

  /**
   * Evicts the oldest finished attempt before its retention time has passed. Until then the withdrawal of an untracked attempt returns
   * `cannotVouch`, since the attempt may be the evicted one.
   */
  private _evictFinished (): boolean {
    const [oldest] = this._finishedAt
    if (oldest === undefined) return false
    const [attemptId, endedAt] = oldest
    this._finishedAt.delete(attemptId)
    this._entries.delete(attemptId)
    this._evictedUntil = endedAt + this._options.retentionMs
    return true
  }
}
