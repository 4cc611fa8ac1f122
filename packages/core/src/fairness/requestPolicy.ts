/**
 * What the declarations in force say to a queue: targets of the classes and guarantees of the organisations.
 */

/** Targets of one class, in milliseconds. */
export interface ClassTargets {
  /** Time within which a request should start; undefined when only the finish counts. */
  readonly startWithinMs: number | undefined
  readonly finishWithinMs: number
}

export interface RequestPolicy {
  readonly classes: ReadonlyMap<string, ClassTargets>
  /** Slots of the whole fleet guaranteed to each declared organisation, 0 for none. */
  readonly guarantees: ReadonlyMap<string, number>
}

/** Policy without declarations: one class, one organisation, no guarantee. */
export const EMPTY_POLICY: RequestPolicy = { classes: new Map(), guarantees: new Map() }

/** Slots that a queue decides over. */
export interface QueueCapacity {
  /** Slots that this queue fills. */
  readonly slots: number
  /** Slots of the fleet that the guarantees speak of; the queue applies its part of each guarantee. */
  readonly fleetSlots: number
}
