/**
 * An entry's record of one agent, updated in place. The router chooses among these records.
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
  /** Maximum number of connections that the agent accepts, over all entries. */
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

  /** Returns true when the member has the same incarnation and address as this record. */
  isSameIncarnation (member: Member): boolean {
    return this.target.incarnation === member.incarnation && this.target.address === member.address
  }

  /** Sets the load to the number of running and waiting attempts that the agent reported. */
  updateLoad (load: ReportedLoad): void {
    this.reportedLoad = load.running + load.waiting
  }
}
