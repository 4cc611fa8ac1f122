/**
 * The part of the operators' declarations that a queue applies: targets of the classes and guarantees of the organisations.
 */

/** Targets of one class, in milliseconds. */
export interface ClassTargets {
  /** Time within which a request should start; undefined when the class has no start target. */
  readonly startWithinMs: number | undefined
  readonly finishWithinMs: number
}

export interface RequestPolicy {
  readonly classes: ReadonlyMap<string, ClassTargets>
  /** Slots of the whole fleet that are guaranteed to each declared organisation; 0 for no guarantee. */
  readonly guarantees: ReadonlyMap<string, number>
}

/** Policy without declarations: all requests count as one class of one organisation, without guarantees. */
export const EMPTY_POLICY: RequestPolicy = { classes: new Map(), guarantees: new Map() }

/** Number of slots that a queue schedules requests on. */
export interface QueueCapacity {
  /** Maximum number of requests of this queue that run at the same time. */
  readonly slots: number
  /**
   * Number of slots of the whole fleet. An organisation's guarantee is a number of these slots; each queue provides a part of it in proportion
   * to the queue's own slots.
   */
  readonly fleetSlots: number
}
