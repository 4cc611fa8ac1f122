/**
 * All experiments, by name. Each loads its code when it runs.
 */
import type { Bench } from './bench.js'

type Loader = () => Promise<Bench>

export const BENCHES: Readonly<Record<string, Loader>> = {
  path: async () => (await import('./path/pathBench.js')).pathBench,
  'store-calls': async () => (await import('./fleet/storeCallsBench.js')).storeCallsBench,
  'config-spread': async () => (await import('./fleet/configSpreadBench.js')).configSpreadBench,
  fairness: async () => (await import('./floods/fairnessBench.js')).fairnessBench,
  flood: async () => (await import('./floods/floodBench.js')).floodBench
}
