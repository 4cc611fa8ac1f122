/**
 * What an entry knows of the agents it may send to: members with the load they reported and its own requests in flight.
 */
import type { Candidate } from '@dragonflylever/core'
import type { Member } from '@dragonflylever/protocol'

import type { MemberView } from '../shared/fleetFacts.js'
import type { AgentTarget, ReportedLoad } from './agentLink.js'
import { AgentRow } from './agentRow.js'

/** Connections of an agent kept for control calls. */
const CONTROL_CONNECTIONS = 12

export class AgentTable {
  private _rows = new Map<string, AgentRow>()
  /** Rows that take new work. */
  private _available: readonly AgentRow[] = []
  private _entries = 1

  /** Number of entries that share the agents' connections. */
  get entries (): number {
    return this._entries
  }

  /** Takes the present members over; returns the ids of agents (or incarnations of them) that are gone. */
  update (members: ReadonlyMap<string, MemberView>): string[] {
    const agents = [...members.values()].map(({ member }) => member).filter(member => member.role === 'agent')
    const rows = new Map(agents.map(member => [member.id, this._getRow(member)]))
    const removed = [...this._rows.values()].filter(row => rows.get(row.agentId) !== row).map(row => row.target.incarnation)
    this._rows = rows
    this._entries = Math.max(1, [...members.values()].filter(({ member }) => member.role === 'entry').length)
    for (const row of rows.values()) row.maxInFlight = computeConnectionShare(row.maxConnections, this._entries)
    this._available = agents.filter(member => member.state !== 'leaving').map(member => rows.get(member.id) as AgentRow)
    return removed
  }

  /** Lists the agents that take new work, for the router; the entries change in place. */
  list (): readonly Candidate[] {
    return this._available
  }

  /** True when at least one agent takes another request from this entry. */
  hasRoom (): boolean {
    return this._available.some(row => row.inFlight < row.maxInFlight)
  }

  /** Lists the control addresses of all agents, leaving ones included. */
  listAddresses (): Set<string> {
    return new Set([...this._rows.values()].map(row => row.target.address))
  }

  /** Returns where to send for an agent. */
  getTarget (agentId: string): AgentTarget | undefined {
    return this._rows.get(agentId)?.target
  }

  /** Notes the start of an attempt. */
  start (agentId: string): void {
    const row = this._rows.get(agentId)
    if (row !== undefined) row.inFlight++
  }

  /** Notes the end of an attempt at an incarnation, with the load the agent reported, if any. */
  finish (target: AgentTarget, load: ReportedLoad | undefined): void {
    const row = this._rows.get(target.agentId)
    if (row === undefined || row.target.incarnation !== target.incarnation) return
    row.inFlight--
    if (load !== undefined) row.updateLoad(load)
  }

  private _getRow (member: Member): AgentRow {
    const existing = this._rows.get(member.id)
    return existing?.isSameIncarnation(member) === true ? existing : new AgentRow(member)
  }
}

/** Returns how many connections one of `entries` entries may hold to an agent. */
export function computeConnectionShare (maxConnections: number, entries: number): number {
  return Math.max(1, Math.floor((maxConnections - CONTROL_CONNECTIONS) / entries))
}
