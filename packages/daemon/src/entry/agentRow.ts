/**
 * One agent as an entry sees it: the router's candidate, kept up to date in place.
 */
import type { Candidate } from '@dragonflylever/core'
import type { Member } from '@dragonflylever/protocol'

import type { AgentTarget, ReportedLoad } from './agentLink.js'

export class AgentRow implements Candidate {
  readonly target: AgentTarget
  readonly agentId: string
  readonly region: string
  readonly failureDomain: string
  readonly slots: number
  /** Connections that the agent allows. */
  readonly maxConnections: number
  reportedLoad = 0
  inFlight = 0
  maxInFlight = 0

  constructor (member: Member) {
    this.target = { agentId: member.id, address: member.address, incarnation: member.incarnation }
    this.agentId = member.id
    this.region = member.region
    this.failureDomain = member.failureDomain
    this.slots = member.agent?.slots ?? 1
    this.maxConnections = member.agent?.maxConnections ?? 1
  }

  /** True when the member is this incarnation at the same address. */
  isSameIncarnation (member: Member): boolean {
    return this.target.incarnation === member.incarnation && this.target.address === member.address
  }

  /** Takes over the load that the agent reported. */
  updateLoad (load: ReportedLoad): void {
    this.reportedLoad = load.running + load.waiting
  }
}
