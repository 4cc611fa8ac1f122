/**
 * The external dependencies of a process. Tests and benchmarks pass their own; the binary creates them from its settings.
 */
import { randomInt, randomUUID } from 'node:crypto'

import { SeededRandom } from '@dragonflylever/core'
import type { Random } from '@dragonflylever/core'
import { EtcdStore, StoreClient } from '@dragonflylever/adapters'
import type { Store } from '@dragonflylever/adapters'
import type { PeerRpc, Settings } from '@dragonflylever/protocol'
import { ClientGuard, RpcClient, createLogger, createMetrics, createPartLogger, createTracer } from '@dragonflylever/runtime'
import type { Logger, Metrics, Tracer } from '@dragonflylever/runtime'

const MAX_SEED = 0x7fff_ffff
/** Default of the bytes held for clients: bodies of 4 MiB and answers of 8 MiB, some of each at a time, beside 1,536 connections. */
const MAX_HELD_BYTES = 96 * 1024 * 1024

/** External dependencies of a process. */
export interface ProcessDependencies {
  readonly store: Store
  readonly peers: PeerRpc
  readonly logger: Logger
  readonly metrics: Metrics
  readonly tracer: Tracer
  readonly random: Random
  /** Guards the process's servers against clients outside the limits. */
  readonly guard: ClientGuard
  /** Id that is unique to each start of the process. */
  readonly incarnation: string
}

/** Creates the dependencies that the settings specify; those in `given` are used instead where present. */
export async function createProcessDependencies (settings: Settings, given: Partial<ProcessDependencies> = {}): Promise<ProcessDependencies> {
  const random = given.random ?? new SeededRandom(randomInt(MAX_SEED))
  const logger = given.logger ?? createLogger({ level: settings.logLevel, processId: settings.id })
  const metrics = given.metrics ?? await createMetrics(settings.metrics, settings.id)
  const { heldBytes = MAX_HELD_BYTES, connections } = settings.clientLimits ?? {}
  const limits = { maxHeldBytes: heldBytes, ...(connections === undefined ? {} : { maxConnections: connections }) }
  return {
    store: given.store ?? new StoreClient({ store: new EtcdStore({ urls: settings.store.urls }), random }),
    peers: given.peers ?? new RpcClient(settings.clusterKey),
    logger,
    metrics,
    guard: given.guard ?? new ClientGuard({ limits, metrics, logger: createPartLogger(logger, 'clients') }),
    tracer: given.tracer ?? await createTracer(settings.tracing, settings.id),
    random,
    incarnation: given.incarnation ?? randomUUID()
  }
}
