/**
 * Circuit breaker for calls to the store: opens after consecutive failures. While it is open, no call of the process is sent; its owner
 * probes the store after a jittered, exponential back-off, so that no client waits for a probe.
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
  private _health: StoreHealth = StoreHealth.up

  constructor (random: Random, maxPauseMs = MAX_PAUSE_MS) {
    this._random = random
    this._maxPauseMs = maxPauseMs
  }

  get health (): StoreHealth {
    return this._health
  }

  /** True if a call was not answered since the last answer, so that the store may be unavailable even while the circuit is closed. */
  get isSuspect (): boolean {
    return this._failures > 0
  }

  /** True while no calls may be sent except probes. */
  get isOpen (): boolean {
    return this._failures >= FAILURE_THRESHOLD
  }

  /** Records that the store answered a call after `elapsedMs` milliseconds; closes the circuit. */
  recordAnswer (elapsedMs: number): void {
    this._failures = 0
    this._pauseMs = FIRST_PAUSE_MS
    this._health = elapsedMs > SLOW_CALL_MS ? StoreHealth.slow : StoreHealth.up
  }

  /** Records that a call stayed unanswered although a later one was answered. The circuit stays as it is, but the store may be unavailable again. */
  recordLateFailure (): void {
    this._failures = Math.max(this._failures, 1)
  }

  /**
   * Records that the store did not answer a call. Opens the circuit when the number of consecutive failures reaches the threshold. Returns
   * the delay until the next probe, in milliseconds.
   */
  fail (): number {
    this._failures++
    const delayMs = this._pauseMs * (0.5 + this._random.sample())
    this._pauseMs = Math.min(this._maxPauseMs, this._pauseMs * 2)
    if (this.isOpen) this._health = StoreHealth.down
    return delayMs
  }
}
