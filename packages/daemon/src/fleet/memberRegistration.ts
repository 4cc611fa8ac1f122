/**
 * Keeps this process registered in the member list of its failure domain. Finds the registrar (from the list, through an
 * entry, or from the store), sends it heartbeats, and tries to become the registrar itself when there is none.
 */
import type { Member } from '@dragonflylever/protocol'

import type { LeaderElector } from '../duties/leaderElector.js'
import { CALL_TIMEOUT_MS } from './fleetContext.js'
import type { FleetContext } from './fleetContext.js'
import type { UpdateRelay } from './updateRelay.js'
import type { Registrar } from './registrar.js'
import { listSuccessors } from './ring.js'

/**
 * Minimum delay in milliseconds before a newly started agent tries to become registrar. The delay is random, up to four times this, since
 * other agents may be starting at the same time.
 */
const ELECTION_DELAY_MS = 1_000
/** Number of members that try to become registrar after the registrar has left. */
const MAX_CANDIDATES = 3

export interface MemberRegistrationOptions {
  readonly context: FleetContext
  readonly relay: Pick<UpdateRelay, 'request' | 'applyUpdate'>
  readonly duty: Pick<LeaderElector, 'tryAcquire'>
  readonly registrar: Pick<Registrar, 'register' | 'remove' | 'startEpoch'>
  /** Called when this process has become the registrar. */
  readonly onElected: () => Promise<void>
}

export class MemberRegistration {
  private readonly _context: FleetContext
  private readonly _options: MemberRegistrationOptions
  private _registrarHint: string | undefined
  private readonly _electionAllowedAt: number
  private _isRegistrarUnreachable = false
  /** The attempt to become the registrar that is in progress. */
  private _election: Promise<void> | undefined

  constructor (options: MemberRegistrationOptions) {
    this._context = options.context
    const { isEntry, random } = options.context
    this._electionAllowedAt = performance.now() + (isEntry ? 0 : ELECTION_DELAY_MS * (1 + 3 * random.sample()))
    this._options = options
  }

  /** Records that the registrar could not be reached, so that the next round looks for it again. */
  markRegistrarUnreachable (): void {
    this._isRegistrarUnreachable = true
  }

  /**
   * Runs one round: registers this process or tries to become the registrar.
   * Does nothing while the list has the current record of this process and the registrar is reachable.
   */
  async check (): Promise<void> {
    const own = this._context.describe()
    if (this._options.registrar.register(own)) return
    if (!this._isRegistrarUnreachable && this._isListed(own) && !this._isSuccessor(own)) return
    if (await this._registerAtRegistrar(own)) return
    await this._registerThroughEntries(own)
    if (this._context.board.get('isLeaving') || performance.now() < this._electionAllowedAt) return
    this._beginElection(own)
  }

  /** Runs the first round and waits for the attempt to become the registrar, if it makes one. */
  async join (): Promise<void> {
    await this.check()
    await this._election
  }

  /** Reports the end of this process to the registrar, or to the entries when the registrar does not accept the report. */
  async leave (): Promise<void> {
    const member = this._context.describe()
    if (this._options.registrar.remove(member.id, member.incarnation, true)) return
    const address = this._findRegistrarAddress(member)
    const outcome = address === undefined ? undefined : await this._context.peers.call(address, 'leave', { member }, CALL_TIMEOUT_MS)
    if (outcome?.kind === 'ok' && outcome.value.isRegistered === true) return
    await Promise.all(this._context.join.map(entry => this._context.peers.call(entry, 'leave', { member }, CALL_TIMEOUT_MS)))
  }

  private _isListed (own: Member): boolean {
    const { table, failureDomain } = this._context
    if (table.getRegistrar(failureDomain)?.id === own.id) return false
    const listed = table.getMember(failureDomain, own.id)
    return listed?.incarnation === own.incarnation && listed.address === own.address && listed.state === own.state
  }

  /** Returns true when the registrar has left the list and this process is among its first successors in the ring. */
  private _isSuccessor (own: Member): boolean {
    const { table, failureDomain } = this._context
    const registrar = table.getRegistrar(failureDomain)
    if (registrar === undefined || table.getMember(failureDomain, registrar.id) !== undefined) return false
    return listSuccessors(table.listMembers(failureDomain), registrar.id).slice(0, MAX_CANDIDATES).some(member => member.id === own.id)
  }

  private _findRegistrarAddress (own: Member): string | undefined {
    const listed = this._context.table.getRegistrar(this._context.failureDomain)?.address
    const address = this._registrarHint ?? listed
    return address === own.address ? undefined : address
  }

  private async _registerAtRegistrar (own: Member): Promise<boolean> {
    const address = this._findRegistrarAddress(own)
    this._registrarHint = undefined
    if (address === undefined) return false
    const isRegistered = await this._sendHeartbeat(address, own)
    this._isRegistrarUnreachable = !isRegistered
    if (isRegistered && this._context.table.getMember(this._context.failureDomain, own.id) === undefined) await this._options.relay.request(address)
    return isRegistered
  }

  private async _registerThroughEntries (own: Member): Promise<void> {
    const targets = this._context.join.filter(address => address !== own.address)
    await Promise.all(targets.map(address => this._sendHeartbeat(address, own)))
    if (this._registrarHint !== undefined) await this._registerAtRegistrar(own)
  }

  /** Tries to become the registrar unless an attempt is in progress. The rounds don't wait for it: a slow store must not hold up the heartbeats. */
  private _beginElection (own: Member): void {
    this._election ??= this._tryBecomeRegistrar(own)
      .catch((error: unknown) => this._context.logger.error({ err: error }, 'an attempt to become the registrar failed; it runs again in the next round'))
      .finally(() => { this._election = undefined })
  }

  private async _tryBecomeRegistrar (own: Member): Promise<void> {
    const outcome = await this._options.duty.tryAcquire()
    if (outcome.kind === 'held') {
      this._isRegistrarUnreachable = false
      this._options.registrar.startEpoch()
      await this._options.onElected()
    }
    if (outcome.kind !== 'other') return
    this._registrarHint = outcome.view.address
    await this._registerAtRegistrar(own)
  }

  private async _sendHeartbeat (address: string, member: Member): Promise<boolean> {
    const params = { member, revision: this._context.holder.revision }
    const outcome = await this._context.peers.call(address, 'heartbeat', params, CALL_TIMEOUT_MS)
    if (outcome.kind !== 'ok') return false
    const { configuration, isRegistered, registrar } = outcome.value
    if (configuration !== undefined) await this._options.relay.applyUpdate({ configuration, domains: [] }, this._context)
    if (isRegistered === true) return true
    if (registrar !== undefined && registrar !== address && registrar !== member.address) this._registrarHint = registrar
    return false
  }
}
