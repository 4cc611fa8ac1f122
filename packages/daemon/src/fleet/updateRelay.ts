/**
 * Distributes updates of the configuration and the member lists: applies the parts of an update that are newer than this process's own
 * state and forwards them once. When a ping shows that two processes have different versions, the missing parts are requested or sent.
 * Within a failure domain, updates follow a tree from the registrar; between failure domains they go from registrar to registrar, with one
 * copy to each other region.
 */
import type { DomainChange, Member, FleetUpdate, Summary } from '@dragonflylever/protocol'

import { isHigherVersion } from './domainTable.js'
import { CALL_TIMEOUT_MS } from './fleetContext.js'
import type { FleetContext } from './fleetContext.js'
import { listTreeChildren } from './ring.js'

/** Location of the process that sent an update; undefined when the update originates in this process. */
export type Origin = { readonly region: string, readonly failureDomain: string } | undefined

export interface UpdateRelayOptions {
  readonly context: FleetContext
  /** True while this process is the registrar of its failure domain. */
  readonly isRegistrar: () => boolean
  /** Called after an update has changed a member list. */
  readonly onMembersChange: () => void
}

export class UpdateRelay {
  private readonly _context: FleetContext
  private readonly _options: UpdateRelayOptions
  private _isApplying = false

  constructor (options: UpdateRelayOptions) {
    this._context = options.context
    this._options = options
  }

  /** True while a configuration from another process is being put in force here. */
  get isApplying (): boolean {
    return this._isApplying
  }

  /** True for entries and registrars, which keep the lists of all failure domains; other processes keep only their own. */
  get isTrackingAll (): boolean {
    return this._context.isEntry || this._options.isRegistrar()
  }

  /** Returns the configuration revision and the versions of the member lists that this process keeps. */
  getSummary (): Summary {
    const { table, failureDomain, holder } = this._context
    const domains = this.isTrackingAll ? [...new Set([failureDomain, ...table.domains])] : [failureDomain]
    return { revision: holder.revision, domains: table.getListVersions(domains) }
  }

  /**
   * Collects the configuration and the changes of member lists that are newer than the versions in `have`: for all known lists if `isAll`,
   * otherwise for the lists in `have`.
   */
  collectUpdate (have: Summary, isAll: boolean): FleetUpdate {
    const { table, board } = this._context
    const configuration = board.get('configuration')
    const names = isAll ? table.domains : Object.keys(have.domains)
    const domains = names.map(domain => table.makeChangeSince(domain, have.domains[domain] ?? [0, 0])).filter(change => change !== undefined)
    return { ...(configuration !== undefined && configuration.revision > have.revision ? { configuration } : {}), domains }
  }

  /**
   * Applies the parts of an update that are newer and forwards them; requests the whole list from the registrar when an incremental change
   * builds on a version that this process does not have.
   */
  async applyUpdate (news: FleetUpdate, origin: Origin): Promise<void> {
    const applied: { configuration?: FleetUpdate['configuration'], domains: DomainChange[] } = { domains: [] }
    if (news.configuration !== undefined && this._applyConfiguration(news.configuration)) applied.configuration = news.configuration
    const gaps = new Set<string>()
    for (const change of news.domains) {
      const outcome = this._context.table.apply(change)
      if (outcome === 'applied') applied.domains.push(change)
      if (outcome === 'gap') gaps.add(change.registrar.address)
    }
    if (applied.domains.length > 0) this._options.onMembersChange()
    await Promise.all([this.publish(applied, origin), ...[...gaps].map(address => this.request(address))])
  }

  private _applyConfiguration (configuration: NonNullable<FleetUpdate['configuration']>): boolean {
    this._isApplying = true
    const isNew = this._context.holder.applyIfNewer(configuration)
    this._isApplying = false
    return isNew
  }

  /** Requests an update from a process and applies it; resolves to false when the process did not answer. */
  async request (address: string): Promise<boolean> {
    const params = { summary: this.getSummary(), isAll: this.isTrackingAll }
    const outcome = await this._context.peers.call(address, 'sync', params, CALL_TIMEOUT_MS)
    if (outcome.kind !== 'ok') return false
    await this.applyUpdate(outcome.value, this._context)
    return true
  }

  /** Syncs with a process that has answered a ping with its summary: requests what is newer there and sends what is newer here. */
  async syncWith (address: string, peerSummary: Summary): Promise<void> {
    const ownSummary = this.getSummary()
    const isBehind = peerSummary.revision > ownSummary.revision || Object.entries(peerSummary.domains).some(([domain, version]) => isHigherVersion(version, ownSummary.domains[domain] ?? [0, 0]))
    if (isBehind) await this.request(address)
    const news = this.collectUpdate(peerSummary, false)
    if (!isEmptyUpdate(news)) await this._sendUpdate(address, news)
  }

  /** Forwards an update that is new to this process: down the tree of its failure domain, and to the registrars or entries outside the tree. */
  async publish (update: FleetUpdate, origin: Origin): Promise<void> {
    if (isEmptyUpdate(update)) return
    const ownDomainUpdate = this._selectOwnDomain(update)
    const sends = isEmptyUpdate(ownDomainUpdate) ? [] : this._listChildren(this._context.id).map(child => this._sendDownTree(child, ownDomainUpdate))
    await Promise.all([...sends, ...this._sendOutsideTree(update, ownDomainUpdate, origin)])
  }

  private _sendOutsideTree (update: FleetUpdate, ownDomainUpdate: FleetUpdate, origin: Origin): Array<Promise<unknown>> {
    const { table, failureDomain, id } = this._context
    if (!this._options.isRegistrar()) {
      const registrar = table.getRegistrar(failureDomain)
      const isOwn = origin === undefined && registrar !== undefined && registrar.id !== id
      return isOwn ? [this._sendUpdate(registrar.address, update)] : []
    }
    const entries = table.listMembers(failureDomain).filter(member => member.role === 'entry' && member.id !== id)
    const peers = this._listRegistrars(origin).map(address => this._sendUpdate(address, origin === undefined || origin.failureDomain === failureDomain ? ownDomainUpdate : update))
    return [...entries.map(entry => this._sendUpdate(entry.address, update)), ...peers]
  }

  /** Lists the addresses of the registrars to which an update from `origin` must still be sent. */
  private _listRegistrars (origin: Origin): string[] {
    const { table, failureDomain, region } = this._context
    const isOwn = origin === undefined || origin.failureDomain === failureDomain
    if (!isOwn && origin.region === region) return []
    const others = table.domains.filter(domain => domain !== failureDomain).sort()
    const sameRegion = others.filter(domain => table.getRegion(domain) === region)
    const otherRegions = new Map<string, string>()
    for (const domain of others) {
      const otherRegion = table.getRegion(domain) ?? ''
      if (otherRegion !== region && !otherRegions.has(otherRegion)) otherRegions.set(otherRegion, domain)
    }
    const chosen = isOwn ? [...sameRegion, ...otherRegions.values()] : sameRegion
    return chosen.map(domain => table.getRegistrar(domain)?.address).filter(address => address !== undefined)
  }

  /** Sends an update to a child in the tree; when the child does not answer, sends the update to that child's children directly. */
  private async _sendDownTree (child: Member, news: FleetUpdate): Promise<void> {
    if (await this._sendUpdate(child.address, news)) return
    await Promise.all(this._listChildren(child.id).map(next => this._sendDownTree(next, news)))
  }

  private _listChildren (id: string): Member[] {
    const { table, failureDomain } = this._context
    return listTreeChildren(table.listMembers(failureDomain), table.getRegistrar(failureDomain)?.id ?? '', id)
  }

  private _selectOwnDomain (update: FleetUpdate): FleetUpdate {
    return { ...update, domains: update.domains.filter(change => change.domain === this._context.failureDomain) }
  }

  private async _sendUpdate (address: string, news: FleetUpdate): Promise<boolean> {
    const { region, failureDomain } = this._context
    const outcome = await this._context.peers.call(address, 'relay', { news, from: { region, failureDomain } }, CALL_TIMEOUT_MS)
    return outcome.kind === 'ok'
  }
}

function isEmptyUpdate (news: FleetUpdate): boolean {
  return news.configuration === undefined && news.domains.length === 0
}
