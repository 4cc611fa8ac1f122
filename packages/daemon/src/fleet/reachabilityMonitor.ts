/**
 * Checks whether an entry can reach the other failure domains. The entries of a region divide the failure domains among
 * themselves; an entry pings one member of each failure domain assigned to it every round. When that member does not answer, the entry
 * pings a sample of members in all failure domains at once and asks the other entries of the region to do the same, so that each
 * entry decides by its own sample. Members that were reported silent are pinged again.
 */
import type { Member } from '@dragonflylever/protocol'

import { CALL_TIMEOUT_MS, isMemberAnswering } from './fleetContext.js'
import type { FleetContext } from './fleetContext.js'
import type { FleetView } from './fleetView.js'

const SAMPLE_SIZE = 3
const MAX_RETRIED = 8

export class ReachabilityMonitor {
  private readonly _context: FleetContext
  private readonly _view: FleetView
  private readonly _samplingDomains = new Set<string>()

  constructor (context: FleetContext, view: FleetView) {
    this._context = context
    this._view = view
  }

  /** Runs one round: checks the failure domains assigned to this entry, the unreachable ones, and silent members. */
  async check (): Promise<void> {
    const domains = this._listOtherDomains()
    const assigned = domains.filter((domain, index) => this._view.isUnreachable(domain) || this._isAssigned(domain, index))
    const retried = this._view.silent.slice(0, MAX_RETRIED)
    await Promise.all([...assigned.map(domain => this._checkDomain(domain)), ...retried.map(member => this._checkSilentMember(member))])
  }

  /** Pings a sample of members in all other failure domains at once, because one of these is suspected to be unreachable. */
  async sampleAllDomains (): Promise<void> {
    await Promise.all(this._listOtherDomains().map(domain => this._sampleDomain(domain)))
  }

  private _listOtherDomains (): string[] {
    const { table, failureDomain } = this._context
    return table.domains.filter(domain => domain !== failureDomain).sort()
  }

  private _listEntries (): Member[] {
    const views = [...this._context.board.get('members').values()]
    const entries = views.map(view => view.member).filter(member => member.role === 'entry' && member.region === this._context.region)
    return entries.sort((a, b) => a.id < b.id ? -1 : 1)
  }

  private _isAssigned (domain: string, index: number): boolean {
    const entries = this._listEntries().filter(entry => entry.failureDomain !== domain)
    return entries.length === 0 || entries[index % entries.length]?.id === this._context.id
  }

  private async _checkDomain (domain: string): Promise<void> {
    if (this._view.isUnreachable(domain)) return this._sampleDomain(domain)
    const [first] = this._pickMembers(domain, 1)
    if (first === undefined || await isMemberAnswering(this._context, first)) return
    for (const entry of this._listEntries()) {
      if (entry.id !== this._context.id) void this._context.peers.call(entry.address, 'suspect', { failureDomain: domain }, CALL_TIMEOUT_MS)
    }
    await this.sampleAllDomains()
  }

  /** Pings several members of a failure domain at once; the failure domain counts as unreachable when none of them answers. */
  private async _sampleDomain (domain: string): Promise<void> {
    if (this._samplingDomains.has(domain)) return
    this._samplingDomains.add(domain)
    const members = this._pickMembers(domain, SAMPLE_SIZE)
    const answers = await Promise.all(members.map(member => isMemberAnswering(this._context, member)))
    this._samplingDomains.delete(domain)
    if (members.length > 0) this._view.setDomainUnreachable(domain, !answers.includes(true), performance.now())
  }

  private _pickMembers (domain: string, count: number): Member[] {
    const members = this._context.table.listMembers(domain)
    const picked: Member[] = []
    while (picked.length < count && members.length > 0) picked.push(...members.splice(this._context.random.pick(members.length), 1))
    return picked
  }

  private async _checkSilentMember (member: Member): Promise<void> {
    if (await isMemberAnswering(this._context, member)) this._view.setMemberSilent(member, false, performance.now())
  }
}
