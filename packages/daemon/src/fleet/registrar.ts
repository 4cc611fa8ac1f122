/**
 * The registrar of a failure domain: the only process that changes the failure domain's member list. Each version of the list carries the
 * epoch of the registrar's leader role. The first change is published at once; changes that follow within a short time are published as one
 * version.
 */
import type { DomainChange, Member } from '@dragonflylever/protocol'

import type { LeaderElector } from '../duties/leaderElector.js'
import type { DomainTable } from './domainTable.js'

const COALESCE_MS = 200

export interface RegistrarOptions {
  readonly duty: LeaderElector
  readonly table: DomainTable
  readonly domain: string
  readonly region: string
  readonly describe: () => Member
  /** Called with each new version of the member list after the version has been applied to the table. */
  readonly onChange: (change: DomainChange) => Promise<void>
}

export class Registrar {
  private readonly _options: RegistrarOptions
  private readonly _endedIncarnations = new Set<string>()
  private _changed = new Map<string, Member>()
  private _removed = new Set<string>()
  private _timer: NodeJS.Timeout | undefined
  private _flushedAt = -Infinity

  constructor (options: RegistrarOptions) {
    this._options = options
  }

  /** True while this process is the registrar under a valid lease. */
  get isActive (): boolean {
    return this._options.duty.epoch !== undefined
  }

  /** Publishes the member list that this process knows as the first version of a new epoch; called when this process becomes registrar. */
  startEpoch (): void {
    const { table, domain, describe } = this._options
    const own = describe()
    const members = [...table.listMembers(domain).filter(member => member.id !== own.id), own]
    void this._publish({ members, removed: [] })
  }

  /** Adds or updates a member; returns false when this process is not the registrar. */
  register (member: Member): boolean {
    if (!this.isActive) return false
    if (this._endedIncarnations.has(member.incarnation)) return true
    const known = this._changed.get(member.id) ?? this._options.table.getMember(this._options.domain, member.id)
    if (known !== undefined && isSameMember(known, member) && !this._removed.has(member.id)) return true
    this._removed.delete(member.id)
    this._changed.set(member.id, member)
    this._scheduleFlush()
    return true
  }

  /**
   * Removes a member if it still has the given incarnation; returns false when this process is not the registrar. `hasEnded` means that the
   * incarnation has ended for certain and is not added again.
   */
  remove (id: string, incarnation: string, hasEnded: boolean): boolean {
    if (!this.isActive) return false
    if (hasEnded) this._endedIncarnations.add(incarnation)
    const known = this._changed.get(id) ?? this._options.table.getMember(this._options.domain, id)
    if (known?.incarnation !== incarnation) return true
    this._changed.delete(id)
    this._removed.add(id)
    this._scheduleFlush()
    return true
  }

  /** Publishes the total number of slots in the fleet to the members of the failure domain if it has changed. */
  async publishFleetSlots (): Promise<void> {
    const { table, domain } = this._options
    if (!this.isActive || table.sumSlots() === table.getFleetSlots(domain)) return
    await this._publish({ since: table.getListVersion(domain)[1], members: [], removed: [] })
  }

  /** Publishes the pending changes and stops the timer. */
  async close (): Promise<void> {
    clearTimeout(this._timer)
    await this._flush()
  }

  private _scheduleFlush (): void {
    const waitMs = Math.max(0, this._flushedAt + COALESCE_MS - performance.now())
    this._timer ??= setTimeout(() => { void this._flush() }, waitMs)
  }

  private async _flush (): Promise<void> {
    this._timer = undefined
    this._flushedAt = performance.now()
    const members = [...this._changed.values()]
    const removed = [...this._removed]
    this._changed = new Map()
    this._removed = new Set()
    if (members.length + removed.length === 0) return
    await this._publish({ since: this._options.table.getListVersion(this._options.domain)[1], members, removed })
  }

  private async _publish (change: Pick<DomainChange, 'since' | 'members' | 'removed'>): Promise<void> {
    const { duty, table, domain, region, describe } = this._options
    const epoch = duty.epoch
    if (epoch === undefined) return
    const own = describe()
    const version = table.getListVersion(domain)[1] + 1
    const completeChange = { domain, region, epoch, version, registrar: { id: own.id, address: own.address }, fleetSlots: table.sumSlots(), ...change }
    if (table.apply(completeChange) === 'applied') await this._options.onChange(completeChange)
  }
}

function isSameMember (a: Member, b: Member): boolean {
  return a.incarnation === b.incarnation && a.address === b.address && a.state === b.state
}
