/**
 * Creates the scheduling policy of request queues from the declarations in force, and updates a queue's policy when these change.
 */
import type { ClassTargets, FairQueue, RequestPolicy } from '@dragonflylever/core'
import { parseDuration } from '@dragonflylever/protocol'
import type { Declarations } from '@dragonflylever/protocol'
import type { Blackboard } from '@dragonflylever/runtime'

import type { FleetState } from './fleetState.js'

/** Creates the scheduling policy of request queues from declarations; classes of jobs are left out. */
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

/** Sets a queue's policy now and whenever a new configuration comes into force. */
export function syncQueuePolicy (board: Blackboard<FleetState>, queue: FairQueue): void {
  const update = (): void => {
    const configuration = board.get('configuration')
    if (configuration !== undefined) queue.setPolicy(createRequestPolicy(configuration.declarations))
  }
  board.subscribe('configuration', update)
  update()
}
