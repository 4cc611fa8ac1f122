/**
 * Failure domains of the simulated fleets: four in one region, three in another.
 */
import type { DomainLayout } from './memoryFleet.js'

const DOMAINS = [
  { region: 'north', failureDomain: 'n1' },
  { region: 'north', failureDomain: 'n2' },
  { region: 'north', failureDomain: 'n3' },
  { region: 'north', failureDomain: 'n4' },
  { region: 'south', failureDomain: 's1' },
  { region: 'south', failureDomain: 's2' },
  { region: 'south', failureDomain: 's3' }
]

/** Distributes agents evenly over seven failure domains with one entry each. */
export function createDomainLayouts (agents: number): DomainLayout[] {
  return DOMAINS.map((domain, index) => ({ ...domain, entries: 1, agents: Math.floor((agents + DOMAINS.length - 1 - index) / DOMAINS.length) }))
}
