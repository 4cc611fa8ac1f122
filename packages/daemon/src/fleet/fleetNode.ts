/**
 * A process as a member of the fleet: its membership, the registrar role of its failure domain, and the distribution of
 * the configuration.
 */
import type { Random } from '@dragonflylever/core'
import { StoreClient } from '@dragonflylever/adapters'
import type { Store } from '@dragonflylever/adapters'
import type { DomainChange, Member, PeerRpc, RpcParams, RpcRegistry, RpcResultValue } from '@dragonflylever/protocol'
import { createPartLogger } from '@dragonflylever/runtime'
import type { Blackboard, Logger } from '@dragonflylever/runtime'

import { LeaderElector } from '../duties/leaderElector.js'
import { ConfigurationHolder } from '../shared/configurationHolder.js'
import { ConfigurationWatcher } from '../shared/configurationWatcher.js'
import type { FleetState } from '../shared/fleetState.js'
import { DomainTable, REGISTRAR_ROLE_PREFIX } from './domainTable.js'
import { MemberRegistration } from './memberRegistration.js'
import { CALL_TIMEOUT_MS, PING_TIMEOUT_MS, isMemberAnswering } from './fleetContext.js'
import type { FleetContext } from './fleetContext.js'
import { FleetView } from './fleetView.js'
import { UpdateRelay } from './updateRelay.js'
import { ReachabilityMonitor } from './reachabilityMonitor.js'
import { Registrar } from './registrar.js'
import { RegistrarSync } from './registrarSync.js'
import { RingMonitor } from './ringMonitor.js'

const ROUND_INTERVAL_MS = 1_000

export interface FleetNodeOptions {
  readonly id: string
  readonly region: string
  readonly failureDomain: string
  readonly role: 'entry' | 'agent'
  readonly join: readonly string[]
  readonly prefix: string
  readonly board: Blackboard<FleetState>
  readonly store: Store
  readonly peers: PeerRpc
  /** Registry for the RPC methods that this process serves. */
  readonly rpc: RpcRegistry
  readonly random: Random
  readonly logger: Logger
  readonly describe: () => Member
}

export class FleetNode {
  readonly holder: ConfigurationHolder
  private readonly _options: FleetNodeOptions
  private readonly _context: FleetContext
  private readonly _elector: LeaderElector
  private readonly _registrar: Registrar
  private readonly _relay: UpdateRelay
  private readonly _view: FleetView
  private readonly _periodicTasks: ReadonlyArray<() => Promise<void>>
  private readonly _registration: MemberRegistration
  private readonly _watcher: ConfigurationWatcher
  private readonly _runningTasks = new Set<() => Promise<void>>()
  private readonly _endSubscription: () => void
  private _timer: NodeJS.Timeout | undefined

  constructor (options: FleetNodeOptions) {
    this._options = options
    const { id, region, failureDomain, role, join, board, peers, random, store, prefix, describe } = options
    const logger = createPartLogger(options.logger, 'members')
    this.holder = new ConfigurationHolder(board, createPartLogger(options.logger, 'config'))
    const table = new DomainTable()
    const context = { id, region, failureDomain, isEntry: role === 'entry', join, board, table, holder: this.holder, peers, random, logger, describe }
    this._context = context
    this._view = new FleetView(board, table)
    this._elector = new LeaderElector({
      store,
      prefix,
      duty: `${REGISTRAR_ROLE_PREFIX}${failureDomain}`,
      holder: id,
      getAddress: () => describe().address,
      logger: createPartLogger(options.logger, 'duties'),
      onLost: () => this._registration.markRegistrarUnreachable()
    })
    const isRegistrar = (): boolean => this._elector.epoch !== undefined
    this._registrar = new Registrar({ duty: this._elector, table, domain: failureDomain, region, describe, onChange: change => this._publishListChange(change) })
    this._relay = new UpdateRelay({ context, isRegistrar, onMembersChange: () => this._publishMembers() })
    this._watcher = new ConfigurationWatcher(store, prefix, this.holder)
    const registrarSync = new RegistrarSync({ context, relay: this._relay, store, prefix, watcher: this._watcher, registrar: this._registrar })
    this._registration = new MemberRegistration({ context, relay: this._relay, duty: this._elector, registrar: this._registrar, onElected: () => registrarSync.check() })
    const ringMonitor = new RingMonitor({ context, relay: this._relay, onRegistrarUnreachable: () => this._registration.markRegistrarUnreachable() })
    const reachabilityMonitor = new ReachabilityMonitor(context, this._view)
    options.rpc.add('suspect', () => {
      void reachabilityMonitor.sampleAllDomains()
      return {}
    })
    const entryRounds = [() => reachabilityMonitor.check(), () => this._syncWithPeer()]
    this._periodicTasks = [() => this._registration.check(), () => ringMonitor.check(), () => registrarSync.check(), ...(context.isEntry ? entryRounds : [])]
    this._endSubscription = board.subscribe('configuration', () => this._publishConfiguration())
    this._registerMethods(options.rpc)
  }

  /** True while this process is the registrar of its failure domain under a valid lease. */
  get isRegistrar (): boolean {
    return this._registrar.isActive
  }

  /** Starts the periodic membership tasks and makes the first attempt to join the fleet; a failed attempt is repeated in the next rounds. */
  async start (): Promise<void> {
    this._view.recordHeartbeat(this._context.describe(), performance.now())
    this._timer = setTimeout(() => this._startRound(), ROUND_INTERVAL_MS * this._options.random.sample())
    await this._registration.join()
  }

  /** Announces to the fleet that this process accepts no new work; called once its member record says so. */
  async leave (): Promise<void> {
    await this._registration.check()
  }

  /** Leaves the fleet and releases the registrar role if this process has it. */
  async close (): Promise<void> {
    clearTimeout(this._timer)
    this._timer = undefined
    this._endSubscription()
    this._watcher.close()
    await this._registration.leave()
    await this._registrar.close()
    await this._elector.release()
  }

  /**
   * Returns the configuration revision in force at each member that answers, by member id. The registrar of each failure domain asks its
   * members; this process then asks the members whose revision is still missing.
   */
  async collectRevisions (): Promise<ReadonlyMap<string, number>> {
    const { table } = this._context
    const results = await Promise.all(table.domains.map(domain => this._collectFromDomain(domain)))
    const revisions = new Map(results.flatMap(part => Object.entries(part)))
    const others = [...this._context.board.get('members').values()].map(view => view.member).filter(member => !revisions.has(member.id))
    for (const [id, revision] of Object.entries(await this._collectFromMembers(others))) revisions.set(id, revision)
    return revisions
  }

  private async _collectFromDomain (failureDomain: string): Promise<Record<string, number>> {
    const { table, peers, id } = this._context
    const registrar = table.getRegistrar(failureDomain)
    if (registrar === undefined || registrar.id === id) return this._collectFromDomainMembers(failureDomain)
    const outcome = await peers.call(registrar.address, 'revisions', { failureDomain }, 2 * CALL_TIMEOUT_MS)
    return outcome.kind === 'ok' ? outcome.value.revisions : this._collectFromDomainMembers(failureDomain)
  }

  private _collectFromDomainMembers (failureDomain: string): Promise<Record<string, number>> {
    return this._collectFromMembers(this._context.table.listMembers(failureDomain))
  }

  private async _collectFromMembers (members: readonly Member[]): Promise<Record<string, number>> {
    const { peers, holder, id } = this._context
    const summary = { revision: holder.revision, domains: {} }
    const rows = await Promise.all(members.map(async member => {
      if (member.id === id) return [member.id, holder.revision] as const
      const outcome = await peers.call(member.address, 'ping', { summary }, PING_TIMEOUT_MS)
      return outcome.kind === 'ok' && outcome.value.incarnation === member.incarnation ? [member.id, outcome.value.summary.revision] as const : undefined
    }))
    return Object.fromEntries(rows.filter(row => row !== undefined))
  }

  private _startRound (): void {
    this._timer = setTimeout(() => this._startRound(), ROUND_INTERVAL_MS)
    this._publishStoreState()
    for (const task of this._periodicTasks) void this._runTaskUnlessRunning(task)
  }

  private async _runTaskUnlessRunning (task: () => Promise<void>): Promise<void> {
    if (this._runningTasks.has(task)) return
    this._runningTasks.add(task)
    try {
      await task()
    } catch (error) {
      this._context.logger.error({ err: error }, 'a membership task failed; it runs again in the next round')
    }
    this._runningTasks.delete(task)
  }

  private _publishStoreState (): void {
    const { board } = this._context
    board.set('storeHealth', this._options.store.health)
    if (this._options.store instanceof StoreClient) board.set('storeUsage', this._options.store.usage)
    if (this._context.isEntry) this._view.publish(performance.now())
  }

  /**
   * Syncs all member lists of an entry with the registrar of its failure domain, or with another entry when there is no registrar or this
   * process is the registrar.
   */
  private async _syncWithPeer (): Promise<void> {
    const { table, failureDomain, id, peers, random } = this._context
    const registrar = table.getRegistrar(failureDomain)
    const entries = [...this._context.board.get('members').values()].filter(({ member }) => member.role === 'entry' && member.id !== id)
    const target = registrar === undefined || registrar.id === id ? entries[random.pick(entries.length)]?.member : registrar
    if (target === undefined) return
    const outcome = await peers.call(target.address, 'ping', { summary: this._relay.getSummary() }, PING_TIMEOUT_MS)
    if (outcome.kind === 'ok') await this._relay.syncWith(target.address, outcome.value.summary)
    else if (target === registrar) this._registration.markRegistrarUnreachable()
  }

  private _publishMembers (): void {
    const { board, table, failureDomain, isEntry } = this._context
    board.set('fleetSlots', table.getFleetSlots(failureDomain))
    if (!isEntry) return
    this._view.publish(performance.now())
    board.set('duties', new Map(table.listRegistrars().map(view => [view.duty, view])))
  }

  private async _publishListChange (change: DomainChange): Promise<void> {
    this._publishMembers()
    await this._relay.publish({ domains: [change] }, undefined)
  }

  private _publishConfiguration (): void {
    const configuration = this._context.board.get('configuration')
    if (configuration !== undefined && !this._relay.isApplying) void this._relay.publish({ configuration, domains: [] }, undefined)
  }

  private _registerMethods (rpc: RpcRegistry): void {
    rpc.add('ping', ({ summary }) => this._servePing(Object.keys(summary.domains)))
    rpc.add('sync', ({ summary, isAll }) => this._relay.collectUpdate(summary, isAll))
    rpc.add('relay', ({ news, from }) => {
      void this._relay.applyUpdate(news, from)
      return {}
    })
    rpc.add('heartbeat', params => this._serveHeartbeat(params))
    rpc.add('leave', params => this._serveLeave(params))
    rpc.add('report', params => this._serveReport(params))
    rpc.add('revisions', async ({ failureDomain }) => ({ revisions: await this._collectFromDomainMembers(failureDomain) }))
  }

  private _servePing (domains: readonly string[]): RpcResultValue<'ping'> {
    const { table, holder, describe } = this._context
    const { id, incarnation } = describe()
    return { id, incarnation, summary: { revision: holder.revision, domains: table.getListVersions(domains) } }
  }

  private _serveHeartbeat ({ member, revision, isForwarded }: RpcParams<'heartbeat'>): RpcResultValue<'heartbeat'> {
    const { board, table, failureDomain, isEntry } = this._context
    const configuration = board.get('configuration')
    const isRegistered = member.failureDomain === failureDomain && this._registrar.register(member)
    if (isEntry) this._view.recordHeartbeat(member, performance.now())
    if (isEntry && !isRegistered && isForwarded !== true) this._sendToEntries('heartbeat', { member, revision, isForwarded: true })
    const registrar = table.getRegistrar(member.failureDomain)?.address
    return {
      ...(configuration !== undefined && configuration.revision > revision ? { configuration } : {}),
      ...(registrar === undefined ? {} : { registrar }),
      isRegistered
    }
  }

  private _serveLeave ({ member, isForwarded }: RpcParams<'leave'>): RpcResultValue<'leave'> {
    const isRegistered = member.failureDomain === this._context.failureDomain && this._registrar.remove(member.id, member.incarnation, true)
    if (this._context.isEntry) this._view.leave(member, performance.now())
    if (this._context.isEntry && !isRegistered && isForwarded !== true) this._sendToEntries('leave', { member, isForwarded: true })
    return { isRegistered }
  }

  private async _serveReport (params: RpcParams<'report'>): Promise<RpcResultValue<'report'>> {
    const { table, isEntry, failureDomain } = this._context
    const isRegistrar = params.failureDomain === failureDomain && this._registrar.isActive
    const member = table.getMember(params.failureDomain, params.id)
    if (member === undefined || member.incarnation !== params.incarnation) return { isRegistrar }
    if (isEntry && !isRegistrar && params.isForwarded !== true) this._sendToEntries('report', { ...params, isForwarded: true })
    if (await isMemberAnswering(this._context, member)) return { isRegistrar }
    if (isRegistrar) this._registrar.remove(member.id, member.incarnation, false)
    if (!isRegistrar && isEntry) this._view.setMemberSilent(member, true, performance.now())
    return { isRegistrar }
  }

  /** Forwards a member's call to the other entries, because this process is not the registrar that could accept it. */
  private _sendToEntries<M extends 'heartbeat' | 'leave' | 'report'> (method: M, params: RpcParams<M>): void {
    const { board, peers, id } = this._context
    for (const { member } of board.get('members').values()) {
      if (member.role === 'entry' && member.id !== id) void peers.call(member.address, method, params, CALL_TIMEOUT_MS)
    }
  }
}
