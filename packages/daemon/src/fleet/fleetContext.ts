/**
 * State and dependencies shared by the classes that implement a process's membership in the fleet.
 */
import type { Random } from '@dragonflylever/core'
import type { Member, PeerRpc } from '@dragonflylever/protocol'
import type { Blackboard, Logger } from '@dragonflylever/runtime'

import type { ConfigurationHolder } from '../shared/configurationHolder.js'
import type { FleetState } from '../shared/fleetState.js'
import type { DomainTable } from './domainTable.js'

/** Timeout of a ping in milliseconds. */
export const PING_TIMEOUT_MS = 400
/** Timeout in milliseconds of calls with a larger payload than a ping. */
export const CALL_TIMEOUT_MS = 1_000

export interface FleetContext {
  readonly id: string
  readonly region: string
  readonly failureDomain: string
  readonly isEntry: boolean
  /** Control addresses of entries or of their load balancer, from the settings; this process joins the fleet through them. */
  readonly join: readonly string[]
  readonly board: Blackboard<FleetState>
  readonly table: DomainTable
  readonly holder: ConfigurationHolder
  readonly peers: PeerRpc
  readonly random: Random
  readonly logger: Logger
  /** Returns the current member record of this process. */
  readonly describe: () => Member
}

/** Pings a member; resolves to true when the process at its address answers with the incarnation in its record. */
export async function isMemberAnswering (context: FleetContext, member: Member): Promise<boolean> {
  const summary = { revision: context.holder.revision, domains: {} }
  const outcome = await context.peers.call(member.address, 'ping', { summary }, PING_TIMEOUT_MS)
  return outcome.kind === 'ok' && outcome.value.incarnation === member.incarnation
}
