/**
 * Store stand-in that contains an accepted configuration, for the demo, tests and benchmarks.
 */
import { createSampleDeclarations, encodeFirstConfiguration } from './sampleFleet.js'
import { StoreStandIn } from './storeStandIn.js'

const CONFIGURATION_KEY = 'dragonflylever/config/current'

/** Starts a store on a free loopback port with the sample declarations as configuration revision 1. */
export async function openSampleStore (): Promise<StoreStandIn> {
  const store = await StoreStandIn.open()
  store.engine.put({ key: CONFIGURATION_KEY, value: encodeFirstConfiguration(createSampleDeclarations()), expect: { kind: 'any' } })
  return store
}
