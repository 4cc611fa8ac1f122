/**
 * Converts the cluster members and the declarations to the workers and guaranteed quotas that the planner works with.
 */
import type { Guarantee } from '@dragonflylever/core'
import { parseDuration } from '@dragonflylever/protocol'
import type { Declarations, Member } from '@dragonflylever/protocol'

import type { PlannedWorker } from './plannerSession.js'

const DEFAULT_START_WITHIN_MS = 60_000

/** Lists the workers that can run tasks, which are the members with an agent that offers cores. */
export function listPlannedWorkers (members: Iterable<Member>): PlannedWorker[] {
  const workers: PlannedWorker[] = []
  for (const member of members) {
    const facts = member.agent
    if (facts === undefined || facts.cores <= 0) continue
    workers.push({
      id: member.id,
      rack: `${member.failureDomain}/${facts.rack}`,
      failureDomain: member.failureDomain,
      region: member.region,
      accelerators: facts.accelerators,
      cores: facts.cores,
      memoryGb: facts.memoryGb,
      state: member.state === 'leaving' ? 'leaving' : 'ready',
      address: member.address,
      incarnation: member.incarnation
    })
  }
  return workers
}

/**
 * Lists the guaranteed quotas of all organisations. The capacity of each quota must become available within the shortest start
 * target of any job class, and never later than after 60 seconds.
 */
export function listGuarantees (declarations: Declarations | undefined): Guarantee[] {
  if (declarations === undefined) return []
  const targets = Object.values(declarations.classes).filter(item => item.kind === 'job').map(item => parseDuration(item.startWithin ?? ''))
  const startWithinMs = Math.min(DEFAULT_START_WITHIN_MS, ...targets.filter(target => target !== undefined))
  return Object.entries(declarations.organisations).flatMap(([organisation, declared]) => declared.guaranteedShapes.map(shape => ({
    organisation,
    accelerators: shape.accelerators,
    adjacency: shape.adjacency,
    count: shape.count,
    startWithinMs
  })))
}
