/**
 * What an agent remembers of dispatched attempts, so that it can vouch for one that never started.
 * A withdrawn attempt leaves a tombstone: a dispatch that arrives later is refused.
 */

/** Where an attempt stands at the agent. */
export const AttemptState = {
  waiting: 'waiting',
  running: 'running',
  finished: 'finished',
  withdrawn: 'withdrawn'
} as const
export type AttemptState = typeof AttemptState[keyof typeof AttemptState]

/** Answer to a withdrawal. `neverStarted` is a promise for good; `cannotVouch` says nothing. */
export type WithdrawResult = 'neverStarted' | 'started' | 'cannotVouch'

/** Answer to the arrival of a dispatch. */
export type AcceptResult = 'accepted' | 'withdrawn' | 'duplicate' | 'full'

/** Bounds of the ledger. */
export interface AttemptLedgerOptions {
  /** Most attempts remembered, ended ones included. */
  readonly maxEntries: number
  /** How long an ended attempt is remembered, in milliseconds; longer than any dispatch can be under way. */
  readonly keepMs: number
}

interface Entry {
  state: AttemptState
  endedAt: number
}

/** Keyed by attempt id; an attempt id is never used twice. */
export class AttemptLedger {
  private readonly _options: AttemptLedgerOptions
  private readonly _entries = new Map<string, Entry>()
  private readonly _finished = new Map<string, number>()
  private readonly _withdrawn = new Map<string, number>()
  private _forgottenUntil = -Infinity

  constructor (options: AttemptLedgerOptions) {
    this._options = options
  }

  /** Number of attempts remembered. */
  get size (): number {
    return this._entries.size
  }

  /** Returns where an attempt stands, or undefined when it is not remembered. */
  getState (attemptId: string): AttemptState | undefined {
    return this._entries.get(attemptId)?.state
  }

  /** Notes the arrival of a dispatch; only `accepted` allows it to wait for a slot. */
  accept (attemptId: string, now: number): AcceptResult {
    const known = this._entries.get(attemptId)
    if (known !== undefined) return known.state === AttemptState.withdrawn ? 'withdrawn' : 'duplicate'
    this._sweep(now)
    if (this._entries.size >= this._options.maxEntries && !this._evictFinished()) return 'full'
    this._entries.set(attemptId, { state: AttemptState.waiting, endedAt: Infinity })
    return 'accepted'
  }

  /** Notes the start; false when the attempt was withdrawn meanwhile and must not start. */
  start (attemptId: string): boolean {
    const entry = this._entries.get(attemptId)
    if (entry === undefined || entry.state !== AttemptState.waiting) return false
    entry.state = AttemptState.running
    return true
  }

  /** Notes the end of a started attempt. */
  finish (attemptId: string, now: number): void {
    this._end(attemptId, AttemptState.finished, now)
  }

  /** Withdraws an attempt, also one that has not arrived yet. */
  withdraw (attemptId: string, now: number): WithdrawResult {
    const state = this._entries.get(attemptId)?.state
    if (state === AttemptState.running || state === AttemptState.finished) return 'started'
    if (state === undefined && this._entries.size >= this._options.maxEntries) {
      this._sweep(now)
      if (this._entries.size >= this._options.maxEntries && !this._evictFinished()) return 'cannotVouch'
    }
    this._end(attemptId, AttemptState.withdrawn, now)
    const mayBeForgotten = state === undefined && now < this._forgottenUntil
    return mayBeForgotten ? 'cannotVouch' : 'neverStarted'
  }

  private _end (attemptId: string, state: AttemptState, now: number): void {
    this._entries.set(attemptId, { state, endedAt: now })
    const ended = state === AttemptState.finished ? this._finished : this._withdrawn
    ended.set(attemptId, now)
  }

  private _sweep (now: number): void {
    for (const ended of [this._finished, this._withdrawn]) {
      for (const [attemptId, endedAt] of ended) {
        if (endedAt + this._options.keepMs > now) break
        ended.delete(attemptId)
        this._entries.delete(attemptId)
      }
    }
  }

  /** Makes room early; for as long as the attempt should have been remembered nobody unknown is vouched for. */
  private _evictFinished (): boolean {
    const [oldest] = this._finished
    if (oldest === undefined) return false
    const [attemptId, endedAt] = oldest
    this._finished.delete(attemptId)
    this._entries.delete(attemptId)
    this._forgottenUntil = endedAt + this._options.keepMs
    return true
  }
}
