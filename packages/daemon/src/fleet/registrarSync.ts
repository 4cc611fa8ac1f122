/**
 * Keeps a registrar in sync with the rest of the fleet: finds the registrars of the other failure domains in the store and
 * syncs with them. The first reachable registrar of each region also watches the accepted configuration in the store.
 */
import type { Store } from '@dragonflylever/adapters'

import { decodeLeaderRecord } from '../duties/leaderElector.js'
import type { LeaderView } from '../duties/leaderElector.js'
import type { ConfigurationWatcher } from '../shared/configurationWatcher.js'
import { REGISTRAR_ROLE_PREFIX } from './domainTable.js'
import { PING_TIMEOUT_MS } from './fleetContext.js'
import type { FleetContext } from './fleetContext.js'
import type { UpdateRelay } from './updateRelay.js'
import type { Registrar } from './registrar.js'

const SYNC_INTERVAL_MS = 3_000
const DISCOVERY_INTERVAL_MS = 15_000

export interface RegistrarSyncOptions {
  readonly context: FleetContext
  readonly relay: UpdateRelay
  readonly store: Store
  readonly prefix: string
  readonly watcher: ConfigurationWatcher
  readonly registrar: Registrar
}

export class RegistrarSync {
  private readonly _options: RegistrarSyncOptions
  private readonly _unreachable = new Set<string>()
  private _syncedAt = -Infinity
  private _discoveredAt = -Infinity

  constructor (options: RegistrarSyncOptions) {
    this._options = options
  }

  /**
   * Runs one round while this process is the registrar: finds other registrars and syncs with them when due, and starts or stops the
   * watch on the configuration. Otherwise it only stops the watch.
   */
  async check (): Promise<void> {
    if (!this._options.registrar.isActive) {
      this._options.watcher.close()
      this._discoveredAt = -Infinity
      return
    }
    const now = performance.now()
    if (now - this._discoveredAt >= DISCOVERY_INTERVAL_MS) await this._findRegistrars(now)
    if (now - this._syncedAt >= SYNC_INTERVAL_MS) await this._syncWithRegistrars(now)
    if (this._isFirstRegistrarOfRegion()) await this._options.watcher.start()
    else this._options.watcher.close()
  }

  private async _findRegistrars (now: number): Promise<void> {
    const { store, prefix, relay } = this._options
    this._discoveredAt = now
    const base = `${prefix}/duties/`
    const outcome = await store.list(base)
    if (outcome.kind !== 'ok') return
    const views = outcome.values.flatMap(stored => decodeLeaderRecord(stored.key.slice(base.length), stored) ?? [])
    const unknown = views.filter(view => this._isUnknownRegistrar(view))
    await Promise.all(unknown.map(view => relay.request(view.address)))
  }

  private _isUnknownRegistrar (view: LeaderView): boolean {
    const { table, id } = this._options.context
    if (!view.duty.startsWith(REGISTRAR_ROLE_PREFIX) || view.holder === id) return false
    return table.getRegistrar(view.duty.slice(REGISTRAR_ROLE_PREFIX.length))?.address !== view.address
  }

  private async _syncWithRegistrars (now: number): Promise<void> {
    const { context } = this._options
    this._syncedAt = now
    const { table, region, failureDomain } = context
    const others = table.domains.filter(domain => domain !== failureDomain).sort()
    const sameRegion = others.filter(domain => table.getRegion(domain) === region)
    const otherRegions = others.filter(domain => table.getRegion(domain) !== region)
    await this._options.registrar.publishFleetSlots()
    await Promise.all([...sameRegion.map(domain => this._syncWithDomain(domain)), this._syncWithOtherRegions(otherRegions)])
  }

  /** Syncs with one registrar of each other region; only the first registrar of this region does so. */
  private async _syncWithOtherRegions (domains: readonly string[]): Promise<void> {
    if (!this._isFirstRegistrarOfRegion()) return
    const syncedRegions = new Set<string>()
    for (const domain of domains) {
      const region = this._options.context.table.getRegion(domain) ?? ''
      if (!syncedRegions.has(region) && await this._syncWithDomain(domain)) syncedRegions.add(region)
    }
  }

  private async _syncWithDomain (domain: string): Promise<boolean> {
    const { context, relay } = this._options
    const address = context.table.getRegistrar(domain)?.address
    if (address === undefined) return false
    const outcome = await context.peers.call(address, 'ping', { summary: relay.getSummary() }, PING_TIMEOUT_MS)
    if (outcome.kind !== 'ok') {
      this._unreachable.add(domain)
      return false
    }
    this._unreachable.delete(domain)
    await relay.syncWith(address, outcome.value.summary)
    return true
  }

  private _isFirstRegistrarOfRegion (): boolean {
    const { table, region, failureDomain } = this._options.context
    const sameRegion = table.domains.filter(domain => table.getRegion(domain) === region && !this._unreachable.has(domain)).sort()
    return sameRegion[0] === undefined || sameRegion[0] >= failureDomain
  }
}
