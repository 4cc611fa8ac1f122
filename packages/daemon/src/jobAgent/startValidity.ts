/**
 * Tells whether the starts in an answer of the planner may still be sent. An answer may reach the agent late, and a start that is retried for long
 * would be carried out although the planner's reason for it is gone, for example since the worker's failure domain is being evacuated.
 */
import { measureAge, readClocks } from '@dragonflylever/runtime'
import type { ClockReading } from '@dragonflylever/runtime'

export class StartValidity {
  private readonly _answeredSince: ClockReading
  private readonly _validMs: number

  /** The planner made its answer at `answeredSince` or later; its starts may be sent for `validMs` milliseconds from then on. */
  constructor (answeredSince: ClockReading, validMs: number) {
    this._answeredSince = answeredSince
    this._validMs = validMs
  }

  /** Time since the answer was made at the earliest, in milliseconds. */
  get ageMs (): number {
    return measureAge(this._answeredSince, readClocks())
  }

  get isOver (): boolean {
    return this.ageMs >= this._validMs
  }
}
