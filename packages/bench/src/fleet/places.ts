/**
 * Failure domains of the fleets that the experiments construct: four in one region, three in another.
 */
import type { Place } from './memoryFleet.js'

const DOMAINS = [
  { region: 'north', failureDomain: 'n1' },
  { region: 'north', failureDomain: 'n2' },
  { region: 'north', failureDomain: 'n3' },
  { region: 'north', failureDomain: 'n4' },
  { region: 'south', failureDomain: 's1' },
  { region: 'south', failureDomain: 's2' },
  { region: 'south', failureDomain: 's3' }
]

/** Spreads agents over seven failure domains with one entry each. */
export function createPlaces (agents: number): Place[] {
  return DOMAINS.map((domain, index) => ({ ...domain, entries: 1, agents: Math.floor((agents + DOMAINS.length - 1 - index) / DOMAINS.length) }))
}
