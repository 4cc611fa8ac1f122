/**
 * Circuit breaker for calls to the store: opens after consecutive failures, then admits one call as a probe after a jittered, exponential
 * back-off.
 */
import type { Random } from '@dragonflylever/core'

import { StoreHealth } from './store.js'

const FAILURE_THRESHOLD = 2
const FIRST_PAUSE_MS = 250
const MAX_PAUSE_MS = 4_000
/** Duration of a call, in milliseconds, above which the health of the store counts as `slow`. */
const SLOW_CALL_MS = 250

export class CircuitBreaker {
  private readonly _random: Random
  private readonly _maxPauseMs: number
  private _failures = 0
  private _pauseMs = FIRST_PAUSE_MS
  private _openUntil = 0
  private _isProbing = false
  private _health: StoreHealth = StoreHealth.up

  constructor (random: Random, maxPauseMs = MAX_PAUSE_MS) {
    this._random = random
    this._maxPauseMs = maxPauseMs
  }

  get health (): StoreHealth {
    return this._health
  }

  /** True if the last call was not answered, so that the store may be unavailable even while the circuit is closed. */
  get isSuspect (): boolean {
    return this._failures > 0
  }

  /**
   * Returns true if a call may be sent now. While the circuit is open, only one call at a time may be sent, as a probe. `now` is
   * monotonic, in milliseconds.
   */
  tryAcquire (now: number): boolean {
    if (this._failures < FAILURE_THRESHOLD) return true
    if (now < this._openUntil || this._isProbing) return false
    this._isProbing = true
    return true
  }

  /** Gives back the permission obtained from {@link tryAcquire}, for a call that was not sent after all. */
  release (): void {
    this._isProbing = false
  }

  /** Records that the store answered a call after `elapsedMs` milliseconds; closes the circuit. */
  recordAnswer (elapsedMs: number): void {
    this._failures = 0
    this._pauseMs = FIRST_PAUSE_MS
    this._isProbing = false
    this._health = elapsedMs > SLOW_CALL_MS ? StoreHealth.slow : StoreHealth.up
  }

  /** Records that the store did not answer a call. Opens the circuit when the number of consecutive failures reaches the threshold. */
  fail (now: number): void {
    this._failures++
    this._isProbing = false
    this._openUntil = now + this._pauseMs * (0.5 + this._random.sample())
    this._pauseMs = Math.min(this._maxPauseMs, this._pauseMs * 2)
    if (this._failures >= FAILURE_THRESHOLD) this._health = StoreHealth.down
  }
}
