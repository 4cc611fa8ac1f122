/**
 * Sends the planner's address to agents that have not reported yet: an agent without a connection to the store can't look up the leader itself.
 */
import type { Store } from '@dragonflylever/adapters'
import type { PeerRpc } from '@dragonflylever/protocol'
import type { Logger } from '@dragonflylever/runtime'

import { decodeNodeRecord } from '../storeRelay/nodeDirectory.js'
import type { GraphKeys } from './graphKeys.js'

const ANNOUNCE_TIMEOUT_MS = 1_000

/** Dependencies of {@link announcePlanner}. */
export interface PlannerAnnouncementDependencies {
  readonly store: Store
  readonly keys: GraphKeys
  readonly epoch: number
  /** Control address of the planner. */
  readonly address: string
  readonly peers: PeerRpc
  readonly logger: Logger
}

/** Announces the planner to the agents in the store's directory for which `hasReported` returns false. */
export async function announcePlanner ({ store, keys, peers, epoch, address, logger }: PlannerAnnouncementDependencies, hasReported: (agent: string) => boolean): Promise<void> {
  const listed = await store.list(keys.nodes)
  if (listed.kind !== 'ok') return
  const missing = listed.values.filter(value => !hasReported(value.key.slice(keys.nodes.length)))
  if (missing.length > 0) logger.info({ epoch, agents: missing.length }, 'announcing the planner to agents that have not reported')
  const addresses = missing.flatMap(value => decodeNodeRecord(value.value)?.address ?? [])
  await Promise.all(addresses.map(agent => peers.call(agent, 'plannerChanged', { epoch, address }, ANNOUNCE_TIMEOUT_MS)))
}
