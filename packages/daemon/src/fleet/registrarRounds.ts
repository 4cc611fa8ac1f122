/**
 * What a registrar does besides keeping its list: finds the registrars of the other failure domains in the store, evens
 * out differences with them, and follows the accepted configuration in the store when it is the one of its region to do so.
 */
import type { Store } from '@dragonflylever/adapters'

import { decodeDuty } from '../duties/dutyHolder.js'
import type { DutyView } from '../duties/dutyHolder.js'
import type { ConfigurationWatcher } from '../shared/configurationWatcher.js'
import { REGISTRAR_DUTY } from './domainTable.js'
import { PING_TIMEOUT_MS } from './fleetContext.js'
import type { FleetContext } from './fleetContext.js'
import type { NewsRelay } from './newsRelay.js'
import type { Registrar } from './registrar.js'

const BALANCE_INTERVAL_MS = 3_000
const LIST_INTERVAL_MS = 15_000

export interface RegistrarRoundsOptions {
  readonly context: FleetContext
  readonly relay: NewsRelay
  readonly store: Store
  readonly prefix: string
  readonly watcher: ConfigurationWatcher
  readonly registrar: Registrar
}

export class RegistrarRounds {
  private readonly _options: RegistrarRoundsOptions
  private readonly _away = new Set<string>()
  private _balancedAt = -Infinity
  private _listedAt = -Infinity

  constructor (options: RegistrarRoundsOptions) {
    this._options = options
  }

  /** Runs what is due; nothing unless this process is the registrar. */
  async check (): Promise<void> {
    if (!this._options.registrar.isActive) {
      this._options.watcher.close()
      this._listedAt = -Infinity
      return
    }
    const now = performance.now()
    if (now - this._listedAt >= LIST_INTERVAL_MS) await this._list(now)
    if (now - this._balancedAt >= BALANCE_INTERVAL_MS) await this._balance(now)
    if (this._isFirstOfRegion()) await this._options.watcher.start()
    else this._options.watcher.close()
  }

  private async _list (now: number): Promise<void> {
    const { store, prefix, relay } = this._options
    this._listedAt = now
    const base = `${prefix}/duties/`
    const outcome = await store.list(base)
    if (outcome.kind !== 'ok') return
    const views = outcome.values.map(stored => decodeDuty(stored.key.slice(base.length), stored))
    const unknown = views.filter(view => this._isUnknown(view))
    await Promise.all(unknown.map(view => relay.request(view.address)))
  }

  private _isUnknown (view: DutyView): boolean {
    const { table, id } = this._options.context
    if (!view.duty.startsWith(REGISTRAR_DUTY) || view.holder === id) return false
    return table.getRegistrar(view.duty.slice(REGISTRAR_DUTY.length))?.address !== view.address
  }

  private async _balance (now: number): Promise<void> {
    const { context } = this._options
    this._balancedAt = now
    const { table, region, failureDomain } = context
    const others = table.domains.filter(domain => domain !== failureDomain).sort()
    const near = others.filter(domain => table.getRegion(domain) === region)
    const far = others.filter(domain => table.getRegion(domain) !== region)
    await this._options.registrar.refresh()
    await Promise.all([...near.map(domain => this._visit(domain)), this._visitFirst(far)])
  }

  /** One visit to each other region is enough, by the first registrar of this one. */
  private async _visitFirst (far: readonly string[]): Promise<void> {
    if (!this._isFirstOfRegion()) return
    const visited = new Set<string>()
    for (const domain of far) {
      const region = this._options.context.table.getRegion(domain) ?? ''
      if (!visited.has(region) && await this._visit(domain)) visited.add(region)
    }
  }

  private async _visit (domain: string): Promise<boolean> {
    const { context, relay } = this._options
    const address = context.table.getRegistrar(domain)?.address
    if (address === undefined) return false
    const outcome = await context.peers.call(address, 'ping', { summary: relay.describe() }, PING_TIMEOUT_MS)
    if (outcome.kind !== 'ok') {
      this._away.add(domain)
      return false
    }
    this._away.delete(domain)
    await relay.balance(address, outcome.value.summary)
    return true
  }

  private _isFirstOfRegion (): boolean {
    const { table, region, failureDomain } = this._options.context
    const near = table.domains.filter(domain => table.getRegion(domain) === region && !this._away.has(domain)).sort()
    return near[0] === undefined || near[0] >= failureDomain
  }
}
