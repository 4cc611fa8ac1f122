/**
 * Turns declarations in force into the policy of the request queues, and keeps a queue up to date with them.
 */
import type { ClassTargets, FairQueue, RequestPolicy } from '@dragonflylever/core'
import { parseDuration } from '@dragonflylever/protocol'
import type { Declarations } from '@dragonflylever/protocol'
import type { Blackboard } from '@dragonflylever/runtime'

import type { FleetFacts } from './fleetFacts.js'

/** Creates the policy; classes of jobs have no part in it. */
export function createRequestPolicy (declarations: Declarations): RequestPolicy {
  const classes = new Map<string, ClassTargets>()
  for (const [name, declared] of Object.entries(declarations.classes)) {
    if (declared.kind !== 'request') continue
    classes.set(name, {
      startWithinMs: declared.startWithin === undefined ? undefined : parseDuration(declared.startWithin),
      finishWithinMs: parseDuration(declared.finishWithin) ?? Infinity
    })
  }
  const guarantees = new Map(Object.entries(declarations.organisations).map(([name, declared]) => [name, declared.guaranteedSlots]))
  return { classes, guarantees }
}

/** Gives a queue the policy of each configuration that comes into force. */
export function syncPolicy (board: Blackboard<FleetFacts>, queue: FairQueue): void {
  const update = (): void => {
    const configuration = board.get('configuration')
    if (configuration !== undefined) queue.setPolicy(createRequestPolicy(configuration.declarations))
  }
  board.subscribe('configuration', update)
  update()
}
