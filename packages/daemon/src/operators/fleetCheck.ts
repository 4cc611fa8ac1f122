/**
 * Checks whether the announced workers can fulfil the guarantees in declarations.
 */
import { checkFeasibility } from '@dragonflylever/core'
import type { InfeasibleGuarantee, WorkerCapacity } from '@dragonflylever/core'
import type { Declarations } from '@dragonflylever/protocol'

import type { MemberView } from '../shared/fleetState.js'

/** Lists the worker capacities of the agents that accept work. */
export function listWorkerCapacities (members: ReadonlyMap<string, MemberView>): WorkerCapacity[] {
  const workers: WorkerCapacity[] = []
  for (const { member } of members.values()) {
    if (member.agent === undefined || member.state === 'leaving') continue
    const { rack, slots, accelerators } = member.agent
    workers.push({ failureDomain: member.failureDomain, rack, slots, accelerators })
  }
  return workers
}

/** Returns the guarantees that the given workers cannot fulfil. */
export function findInfeasibleGuarantees (declarations: Declarations, workers: readonly WorkerCapacity[]): InfeasibleGuarantee[] {
  const organisations = Object.entries(declarations.organisations)
  const slots = organisations.map(([organisation, declared]) => ({ organisation, slots: declared.guaranteedSlots }))
  const shapes = organisations.flatMap(([organisation, declared]) => declared.guaranteedShapes.map((shape, index) => ({ organisation, index, ...shape })))
  return checkFeasibility(slots, shapes, workers)
}
