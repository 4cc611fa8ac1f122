/**
 * The two simulated deployments, their classes and organisations, and their load without a flood.
 */
import type { ClassTargets, RequestPolicy } from '@dragonflylever/core'

/** Class of requests with its targets and mean run time, in milliseconds. */
export interface WorkClass extends ClassTargets {
  readonly name: string
  readonly meanRunMs: number
}

/** Organisation with its guarantee and its share of the ordinary load. */
export interface WorkOrganisation {
  readonly name: string
  readonly guaranteedSlots: number
  readonly loadShare: number
}

export interface FailureDomain {
  readonly name: string
  readonly region: string
  readonly workers: number
}

/** Simulated deployment. Classes are sorted from the most to the least urgent; latencies within and between regions are one-way, in milliseconds. */
export interface Deployment {
  readonly name: string
  readonly classes: readonly WorkClass[]
  readonly organisations: readonly WorkOrganisation[]
  readonly failureDomains: readonly FailureDomain[]
  readonly domainLatencyMs: number
  readonly regionLatencyMs: number
}

export const SLOTS_PER_WORKER = 8
export const CONNECTIONS_PER_WORKER = 60
/** Share of all slots that the load without a flood uses. */
export const ORDINARY_LOAD = 0.6

const CLASSES: readonly WorkClass[] = [
  { name: 'care-match', startWithinMs: 2_000, finishWithinMs: 5_000, meanRunMs: 150 },
  { name: 'recipe-check', startWithinMs: 5_000, finishWithinMs: 20_000, meanRunMs: 400 },
  { name: 'reconciliation', startWithinMs: undefined, finishWithinMs: 60_000, meanRunMs: 1_500 }
]
const ORGANISATIONS: readonly WorkOrganisation[] = [
  { name: 'large-one', guaranteedSlots: 24, loadShare: 0.4 },
  { name: 'large-two', guaranteedSlots: 16, loadShare: 0.3 },
  { name: 'middle', guaranteedSlots: 10, loadShare: 0.2 },
  { name: 'small', guaranteedSlots: 0, loadShare: 0.1 }
]

export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'crisp-works',
    classes: CLASSES,
    organisations: ORGANISATIONS,
    failureDomains: [{ name: 'jihlava', region: 'morava', workers: 4 }, { name: 'trebic', region: 'morava', workers: 3 }, { name: 'pelhrimov', region: 'cechy', workers: 3 }],
    domainLatencyMs: 0.5,
    regionLatencyMs: 30
  },
  {
    name: 'guild',
    classes: CLASSES,
    organisations: ORGANISATIONS,
    failureDomains: [{ name: 'khi-a', region: 'pk-south', workers: 4 }, { name: 'hyd-a', region: 'pk-south', workers: 3 }, { name: 'lhr-a', region: 'pk-north', workers: 3 }],
    domainLatencyMs: 1.5,
    regionLatencyMs: 30
  }
]

/** Creates the request policy (targets of classes, guarantees of organisations) of a deployment. */
export function createRequestPolicy (deployment: Deployment): RequestPolicy {
  return {
    classes: new Map(deployment.classes.map(({ name, startWithinMs, finishWithinMs }) => [name, { startWithinMs, finishWithinMs }])),
    guarantees: new Map(deployment.organisations.map(({ name, guaranteedSlots }) => [name, guaranteedSlots]))
  }
}
