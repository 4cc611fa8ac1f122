/**
 * Checks this process's successor in the ring of its failure domain; when a successor does not answer, the next one is
 * checked at once. Silent members are reported to the registrar and to the entries, which act when there is no registrar.
 */
import type { Member, RpcParams } from '@dragonflylever/protocol'

import { CALL_TIMEOUT_MS, PING_TIMEOUT_MS } from './fleetContext.js'
import type { FleetContext } from './fleetContext.js'
import type { UpdateRelay } from './updateRelay.js'
import { listSuccessors } from './ring.js'

/** Maximum number of successors checked within one round. */
const MAX_SUCCESSORS = 8
const PING_ATTEMPTS = 2
/** Minimum interval between two reports on the same silent member, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000

export interface RingMonitorOptions {
  readonly context: FleetContext
  readonly relay: UpdateRelay
  /** Called when no registrar has accepted a report on a silent member. */
  readonly onRegistrarUnreachable: () => void
}

export class RingMonitor {
  private readonly _context: FleetContext
  private readonly _options: RingMonitorOptions
  private readonly _reportedAt = new Map<string, number>()

  constructor (options: RingMonitorOptions) {
    this._context = options.context
    this._options = options
  }

  /** Runs one round: pings successors until one of them answers, and reports those that do not. */
  async check (): Promise<void> {
    const { table, failureDomain, id } = this._context
    const successors = listSuccessors(table.listMembers(failureDomain), id).slice(0, MAX_SUCCESSORS)
    for (const member of successors) {
      if (await this._checkMember(member)) return
      if (this._isReportDue(member)) void this._reportSilentMember(member)
    }
  }

  private _isReportDue (member: Member): boolean {
    const now = performance.now()
    for (const [incarnation, at] of this._reportedAt) if (now - at >= REPORT_INTERVAL_MS) this._reportedAt.delete(incarnation)
    if (this._reportedAt.has(member.incarnation)) return false
    this._reportedAt.set(member.incarnation, now)
    return true
  }

  private async _checkMember (member: Member): Promise<boolean> {
    for (let attempt = 0; attempt < PING_ATTEMPTS; attempt++) {
      const params = { summary: this._options.relay.getSummary() }
      const outcome = await this._context.peers.call(member.address, 'ping', params, PING_TIMEOUT_MS)
      if (outcome.kind !== 'ok') continue
      if (outcome.value.incarnation !== member.incarnation) return false
      await this._options.relay.syncWith(member.address, outcome.value.summary)
      return true
    }
    return false
  }

  private async _reportSilentMember (member: Member): Promise<void> {
    const params = { failureDomain: this._context.failureDomain, id: member.id, incarnation: member.incarnation }
    const entries = [...this._listEntries(member)].map(address => this._context.peers.call(address, 'report', params, CALL_TIMEOUT_MS))
    if (!await this._reportToRegistrar(member, params)) this._options.onRegistrarUnreachable()
    await Promise.all(entries)
  }

  private async _reportToRegistrar (member: Member, params: RpcParams<'report'>): Promise<boolean> {
    const registrar = this._context.table.getRegistrar(this._context.failureDomain)
    if (registrar === undefined || registrar.id === member.id) return false
    const outcome = await this._context.peers.call(registrar.address, 'report', params, CALL_TIMEOUT_MS)
    return outcome.kind === 'ok' && outcome.value.isRegistrar
  }

  private _listEntries (silent: Member): Set<string> {
    const { table, failureDomain, join, id } = this._context
    const entries = table.listMembers(failureDomain).filter(one => one.role === 'entry' && one.id !== id && one.id !== silent.id)
    return new Set([...join, ...entries.map(entry => entry.address)])
  }
}
