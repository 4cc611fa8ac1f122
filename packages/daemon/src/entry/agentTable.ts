/**
 * The agents known to an entry, each with the load it last reported and the number of requests in flight from this entry.
 */
import type { Candidate } from '@dragonflylever/core'
import type { Member } from '@dragonflylever/protocol'

import type { MemberView } from '../shared/fleetState.js'
import type { AgentTarget, ReportedLoad } from './agentLink.js'
import { AgentRow } from './agentRow.js'

/** Number of an agent's connections that are reserved for control calls; the entries share the others. */
const CONTROL_CONNECTIONS = 12

export class AgentTable {
  private _rows = new Map<string, AgentRow>()
  /** Agents that accept new requests. */
  private _available: readonly AgentRow[] = []
  private _entryCount = 1

  /** Number of entries among the members, at least 1; they share each agent's connections. */
  get entries (): number {
    return this._entryCount
  }

  /** Replaces the known agents with those among the current members; returns the incarnations that are no longer members. */
  update (members: ReadonlyMap<string, MemberView>): string[] {
    const agents = [...members.values()].map(({ member }) => member).filter(member => member.role === 'agent')
    const rows = new Map(agents.map(member => [member.id, this._getOrCreateRow(member)]))
    const gone = [...this._rows.values()].filter(row => rows.get(row.agentId) !== row).map(row => row.target.incarnation)
    this._rows = rows
    this._entryCount = Math.max(1, [...members.values()].filter(({ member }) => member.role === 'entry').length)
    for (const row of rows.values()) row.maxInFlight = computeConnectionShare(row.maxConnections, this._entryCount)
    this._available = agents.filter(member => member.state !== 'leaving').map(member => rows.get(member.id) as AgentRow)
    return gone
  }

  /** Lists the agents that accept new requests, for the router. The elements are updated in place. */
  listAvailable (): readonly Candidate[] {
    return this._available
  }

  /** Returns true when at least one agent that accepts requests has fewer requests in flight than this entry's share of its connections. */
  hasFreeConnection (): boolean {
    return this._available.some(row => row.inFlight < row.maxInFlight)
  }

  /** Lists the control addresses of all agents, including those that are shutting down. */
  listAddresses (): Set<string> {
    return new Set([...this._rows.values()].map(row => row.target.address))
  }

  /** Returns the current address and incarnation of an agent; undefined when the agent is not a member. */
  getAgentTarget (agentId: string): AgentTarget | undefined {
    return this._rows.get(agentId)?.target
  }

  /** Records that an attempt is sent to an agent. */
  start (agentId: string): void {
    const row = this._rows.get(agentId)
    if (row !== undefined) row.inFlight++
  }

  /**
   * Records that an attempt at an agent has ended, and the load that the agent reported, if any. Does nothing when the agent has since
   * restarted or left.
   */
  recordAttemptEnd (target: AgentTarget, load: ReportedLoad | undefined): void {
    const row = this._rows.get(target.agentId)
    if (row === undefined || row.target.incarnation !== target.incarnation) return
    row.inFlight--
    if (load !== undefined) row.updateLoad(load)
  }

  private _getOrCreateRow (member: Member): AgentRow {
    const known = this._rows.get(member.id)
    return known?.isSameIncarnation(member) === true ? known : new AgentRow(member)
  }
}

/** Returns the number of connections that each of `entries` entries may have to an agent with `maxConnections` connections. */
export function computeConnectionShare (maxConnections: number, entries: number): number {
  return Math.max(1, Math.floor((maxConnections - CONTROL_CONNECTIONS) / entries))
}
