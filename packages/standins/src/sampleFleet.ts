/**
 * Settings and declarations of sample fleets on loopback, for the demo, tests and benchmarks.
 */
import type { AgentSettings, Declarations, EntrySettings } from '@dragonflylever/protocol'

const CLUSTER_KEY = 'loopback-cluster-key'
/** Operators' key in the settings of the sample fleets. */
export const OPERATORS_KEY = 'loopback-operators-key'
/** Capacity of each worker in a sample fleet. */
export const WORKER_CAPACITY = { accelerators: 8, cores: 130, memoryGb: 500 } as const
const ANY_PORT = '127.0.0.1:0'

/** Identity, location, connections and log level of a process of a sample fleet; the other settings are common to all processes. */
export interface SampleProcess {
  readonly id: string
  readonly region?: string
  readonly failureDomain?: string
  readonly storeUrl: string
  readonly join?: readonly string[]
  readonly logLevel?: 'info' | 'silent'
}

/** Creates the settings of an entry that listens on free ports. */
export function createEntrySettings (options: SampleProcess): EntrySettings {
  return {
    role: 'entry',
    ...createCommonSettings(options),
    listen: { callers: ANY_PORT, control: ANY_PORT, operators: ANY_PORT },
    operatorsKey: OPERATORS_KEY
  }
}

/** Creates the settings of an agent that listens on a free port. */
export function createAgentSettings (options: SampleProcess & { readonly endpointUrl: string, readonly workerUrl?: string, readonly rack?: string, readonly slots?: number }): AgentSettings {
  return {
    role: 'agent',
    ...createCommonSettings(options),
    listen: { control: ANY_PORT },
    rack: options.rack ?? 'rack-1',
    endpoint: { url: options.endpointUrl, slots: options.slots ?? 8, maxConnections: 60 },
    ...(options.workerUrl === undefined ? {} : { worker: { url: options.workerUrl, ...WORKER_CAPACITY } })
  }
}

/** Creates declarations with request and job classes and four organisations, two of them with guarantees. */
export function createSampleDeclarations (): Declarations {
  return {
    classes: {
      'care-match': { kind: 'request', startWithin: '2s', finishWithin: '5s', idempotent: true },
      'allergen-check': { kind: 'request', startWithin: '2s', finishWithin: '10s', idempotent: true },
      reconciliation: { kind: 'request', finishWithin: '60s', idempotent: false },
      'recipe-run': { kind: 'job', finishWithin: '4h', idempotent: false }
    },
    organisations: {
      'kelp-works': { guaranteedSlots: 16, guaranteedShapes: [{ accelerators: 8, adjacency: 'worker', count: 1 }] },
      canteens: { guaranteedSlots: 8, guaranteedShapes: [] },
      guild: { guaranteedSlots: 0, guaranteedShapes: [] },
      'branch-north': { guaranteedSlots: 0, guaranteedShapes: [] }
    }
  }
}

/** Encodes the declarations as an accepted configuration with revision 1, in the format of the store. */
export function encodeFirstConfiguration (declarations: Declarations): string {
  return JSON.stringify({ revision: 1, declarations, acceptedAt: 0, nonce: 'first', acceptedBy: 'sample' })
}

function createCommonSettings (options: SampleProcess): Omit<EntrySettings, 'role' | 'listen' | 'organisationKeys' | 'operatorsKey'> {
  return {
    id: options.id,
    region: options.region ?? 'morava',
    failureDomain: options.failureDomain ?? 'jihlava',
    store: { urls: [options.storeUrl], prefix: 'dragonflylever' },
    join: [...options.join ?? []],
    clusterKey: CLUSTER_KEY,
    logLevel: options.logLevel ?? 'info'
  }
}
