/**
 * What an entry knows of the agents it may send to: members with the load they reported and its own requests in flight.
 */
import type { Candidate } from '@dragonflylever/core'
import type { Member } from '@dragonflylever/protocol'

import type { MemberView } from '../shared/fleetFacts.js'
import type { AgentTarget, ReportedLoad } from './agentLink.js'

/** Connections of an agent kept for control calls. */
const CONTROL_CONNECTIONS = 12

interface AgentRow {
  readonly target: AgentTarget
  readonly member: Member
  load: ReportedLoad
  inFlight: number
  isLeaving: boolean
}

export class AgentTable {
  private _rows = new Map<string, AgentRow>()
  private _entries = 1

  /** Number of entries that share the agents' connections. */
  get entries (): number {
    return this._entries
  }

  /** Takes the present members over; returns the ids of agents (or incarnations of them) that are gone. */
  update (members: ReadonlyMap<string, MemberView>): string[] {
    const rows = new Map<string, AgentRow>()
    for (const { member } of members.values()) {
      if (member.role !== 'agent') continue
      const known = this._rows.get(member.id)
      const isSame = known?.target.incarnation === member.incarnation && known.target.address === member.address
      const row = isSame ? known : createRow(member)
      row.isLeaving = member.state === 'leaving'
      rows.set(member.id, row)
    }
    const gone = [...this._rows.values()].filter(row => rows.get(row.member.id) !== row).map(row => row.target.incarnation)
    this._rows = rows
    this._entries = Math.max(1, [...members.values()].filter(({ member }) => member.role === 'entry').length)
    return gone
  }

  /** Lists the agents for the router. */
  list (): Candidate[] {
    return [...this._rows.values()].filter(row => !row.isLeaving).map(row => this._describe(row))
  }

  /** True when at least one agent takes another request from this entry. */
  hasRoom (): boolean {
    for (const row of this._rows.values()) {
      if (!row.isLeaving && row.inFlight < this._getMaxInFlight(row)) return true
    }
    return false
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
    if (load !== undefined) row.load = load
  }

  private _describe (row: AgentRow): Candidate {
    return {
      agentId: row.member.id,
      region: row.member.region,
      failureDomain: row.member.failureDomain,
      slots: row.member.agent?.slots ?? 1,
      reportedLoad: row.load.running + row.load.waiting,
      inFlight: row.inFlight,
      maxInFlight: this._getMaxInFlight(row)
    }
  }

  private _getMaxInFlight (row: AgentRow): number {
    return computeConnectionShare(row.member.agent?.maxConnections ?? 1, this._entries)
  }
}

/** Returns how many connections one of `entries` entries may hold to an agent. */
export function computeConnectionShare (maxConnections: number, entries: number): number {
  return Math.max(1, Math.floor((maxConnections - CONTROL_CONNECTIONS) / entries))
}

function createRow (member: Member): AgentRow {
  const target = { agentId: member.id, address: member.address, incarnation: member.incarnation }
  return { target, member, load: { running: 0, waiting: 0 }, inFlight: 0, isLeaving: false }
}
