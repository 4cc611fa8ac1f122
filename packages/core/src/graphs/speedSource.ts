/**
 * How fast workers are relative to each other, as placement asks for it.
 */

/** Source of the speeds of workers. */
export interface SpeedSource {
  /** True once the measured speeds of workers differ so much that placement has to take them into account. */
  readonly hasDifferences: boolean
  /**
   * Returns the factor by which a task takes longer at a worker than at one of middle speed: 1.6 for a slow worker, 0.6 for a fast one, 1 for one of which
   * nothing is known. `now` is in milliseconds of the planner's clock.
   */
  getFactor (workerId: string, now: number): number
}

/** Takes all workers for equally fast. */
export class EqualSpeeds implements SpeedSource {
  readonly hasDifferences = false

  getFactor (): number {
    return 1
  }
}
