/**
 * Flood scenarios, and the request streams of the ordinary load and of the floods.
 */
import type { Stream } from './fleetRun.js'
import { ORDINARY_LOAD, SLOTS_PER_WORKER } from './workload.js'
import type { Deployment, WorkClass } from './workload.js'

const MS_PER_S = 1_000
const CALLERS_PER_STREAM = 20
const FLOOD_CALLERS = 500
/** Organisation that sends the flood. */
export const FLOODING_ORGANISATION = 'large-one'

export interface FloodScenario {
  readonly flooding: 'least urgent' | 'most urgent' | 'both'
  /** Demand of the flood as a multiple of the fleet's capacity. */
  readonly times: number
  readonly callers: 'one' | 'many'
}

/** Lists the scenarios: each combination of flooding classes, flood size and number of callers. */
export function listScenarios (): FloodScenario[] {
  const scenarios: FloodScenario[] = []
  for (const flooding of ['least urgent', 'most urgent', 'both'] as const) {
    for (const times of [2, 10, 50]) {
      for (const callers of ['one', 'many'] as const) scenarios.push({ flooding, times, callers })
    }
  }
  return scenarios
}

/** Returns the number of slots of all workers, including those in a lost failure domain. */
export function countSlots (deployment: Deployment): number {
  return deployment.failureDomains.reduce((sum, domain) => sum + domain.workers, 0) * SLOTS_PER_WORKER
}

/** Creates the streams of the load without a flood. Every class keeps the same number of slots busy; each organisation's part of them is its `loadShare`. */
export function createOrdinaryStreams (deployment: Deployment): Stream[] {
  const slotsPerClass = countSlots(deployment) * ORDINARY_LOAD / deployment.classes.length
  return deployment.classes.flatMap(workClass => deployment.organisations.map(organisation => {
    const slots = slotsPerClass * organisation.loadShare
    return createStream(`${workClass.name}/${organisation.name}`, workClass, organisation.name, slots, CALLERS_PER_STREAM, 0)
  }))
}

/** Returns the organisations whose ordinary load is within their guarantee. */
export function listCoveredOrganisations (deployment: Deployment): Set<string> {
  const slots = countSlots(deployment) * ORDINARY_LOAD
  const covered = deployment.organisations.filter(({ guaranteedSlots, loadShare }) => loadShare * slots <= guaranteedSlots)
  return new Set(covered.map(({ name }) => name))
}

/** Creates the streams of a flood that starts at `startsAt` milliseconds. */
export function createFloodStreams (deployment: Deployment, scenario: FloodScenario, startsAt: number): Stream[] {
  const callers = scenario.callers === 'one' ? 1 : FLOOD_CALLERS
  return selectClasses(deployment, scenario).map(workClass => {
    const slots = countSlots(deployment) * scenario.times
    return createStream(`flood ${workClass.name}`, workClass, FLOODING_ORGANISATION, slots, callers, startsAt)
  })
}

/** Returns the names of the classes that flood. */
export function listFloodingClasses (deployment: Deployment, scenario: FloodScenario): string[] {
  return selectClasses(deployment, scenario).map(({ name }) => name)
}

function selectClasses (deployment: Deployment, { flooding }: FloodScenario): WorkClass[] {
  const { classes } = deployment
  const most = classes[0] as WorkClass
  const least = classes[classes.length - 1] as WorkClass
  if (flooding === 'both') return [most, least]
  return [flooding === 'most urgent' ? most : least]
}

/** Creates a stream whose requests keep `slots` slots busy on average. */
export function createStream (id: string, workClass: WorkClass, organisation: string, slots: number, callers: number, startsAt: number): Stream {
  return {
    id,
    className: workClass.name,
    organisation,
    callers,
    requestsPerS: slots * MS_PER_S / workClass.meanRunMs,
    meanRunMs: workClass.meanRunMs,
    finishWithinMs: workClass.finishWithinMs,
    startsAt
  }
}
