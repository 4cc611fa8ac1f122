/**
 * All experiments by name. The module of an experiment is loaded only when the experiment runs.
 */
import type { Bench } from './bench.js'

type Loader = () => Promise<Bench>

export const BENCHES: Readonly<Record<string, Loader>> = {
  capacity: async () => (await import('./capacity/capacityBench.js')).capacityBench,
  claims: async () => (await import('./claims/claimsBench.js')).claimsBench,
  completion: async () => (await import('./gangs/completionBench.js')).completionBench,
  'config-spread': async () => (await import('./fleet/configSpreadBench.js')).configSpreadBench,
  fairness: async () => (await import('./floods/fairnessBench.js')).fairnessBench,
  flood: async () => (await import('./floods/floodBench.js')).floodBench,
  fragmentation: async () => (await import('./gangs/fragmentationBench.js')).fragmentationBench,
  path: async () => (await import('./path/pathBench.js')).pathBench,
  'pass-slopes': async () => (await import('./graphs/passSlopesBench.js')).passSlopesBench,
  'plan-pass': async () => (await import('./graphs/planPassBench.js')).planPassBench,
  'store-calls': async () => (await import('./fleet/storeCallsBench.js')).storeCallsBench
}
