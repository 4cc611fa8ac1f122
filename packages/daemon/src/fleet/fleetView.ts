/**
 * The members as an entry sees them: the lists of the failure domains, corrected by reports from members and the entry's own
 * checks while a list is outdated (its registrar or the store is unavailable, or the failure domain is unreachable).
 */
import type { Member } from '@dragonflylever/protocol'
import type { Blackboard } from '@dragonflylever/runtime'

import type { FleetState, MemberView } from '../shared/fleetState.js'
import type { DomainTable } from './domainTable.js'

/** How long a member that is in no list is kept after its last heartbeat, in milliseconds. */
const PROVISIONAL_TTL_MS = 2_500
const MAX_ENDED = 4_096

export class FleetView {
  private readonly _board: Blackboard<FleetState>
  private readonly _table: DomainTable
  private readonly _provisional = new Map<string, { member: Member, until: number }>()
  private readonly _silent = new Map<string, Member>()
  private readonly _unreachable = new Set<string>()
  private readonly _ended = new Set<string>()
  private readonly _leaving = new Set<string>()

  constructor (board: Blackboard<FleetState>, table: DomainTable) {
    this._board = board
    this._table = table
  }

  /** Members that do not answer but are still in a list; the reachability monitor pings them again. */
  get silent (): readonly Member[] {
    return [...this._silent.values()]
  }

  /** Records a member's heartbeat. The member is in the view until its record is in a list or the heartbeat expires. */
  recordHeartbeat (member: Member, now: number): void {
    if (this._ended.has(member.incarnation)) return
    this._silent.delete(member.incarnation)
    if (member.state === 'leaving') this._leaving.add(member.incarnation)
    this._provisional.set(member.id, { member, until: now + PROVISIONAL_TTL_MS })
    this.publish(now)
  }

  /** Records that a member's process has ended; its incarnation is no longer in the view. */
  leave (member: Member, now: number): void {
    this._ended.add(member.incarnation)
    if (this._ended.size > MAX_ENDED) this._ended.delete(this._ended.values().next().value ?? '')
    if (this._provisional.get(member.id)?.member.incarnation === member.incarnation) this._provisional.delete(member.id)
    this.publish(now)
  }

  /** Records that a member does not answer, or that it answers again. */
  setMemberSilent (member: Member, isSilent: boolean, now: number): void {
    if (isSilent) this._silent.set(member.incarnation, member)
    else this._silent.delete(member.incarnation)
    this.publish(now)
  }

  /** True while this process can reach no member of a failure domain. */
  isUnreachable (domain: string): boolean {
    return this._unreachable.has(domain)
  }

  /** Records whether this process can reach any member of a failure domain. */
  setDomainUnreachable (domain: string, isDomainUnreachable: boolean, now: number): void {
    if (this._unreachable.has(domain) === isDomainUnreachable) return
    if (isDomainUnreachable) this._unreachable.add(domain)
    else this._unreachable.delete(domain)
    this.publish(now)
  }

  /** Writes the members in the view to the blackboard if they have changed. */
  publish (now: number): void {
    this._dropOutdatedReports(now)
    const next = new Map<string, MemberView>()
    for (const domain of this._table.domains) for (const member of this._table.listMembers(domain)) this._addMember(next, member, now)
    for (const { member } of this._provisional.values()) this._addMember(next, member, now)
    if (!hasSameMembers(this._board.get('members'), next)) this._board.set('members', next)
  }

  private _dropOutdatedReports (now: number): void {
    for (const [id, { member, until }] of this._provisional) {
      const listed = this._table.getMember(member.failureDomain, id)
      if (until < now || listed?.incarnation === member.incarnation) this._provisional.delete(id)
    }
    for (const [incarnation, member] of this._silent) {
      if (this._table.getMember(member.failureDomain, member.id)?.incarnation !== incarnation) this._silent.delete(incarnation)
    }
  }

  private _addMember (next: Map<string, MemberView>, member: Member, now: number): void {
    const isExcluded = this._ended.has(member.incarnation) || this._silent.has(member.incarnation) || this._unreachable.has(member.failureDomain)
    if (isExcluded) return
    const known = this._board.get('members').get(member.id)
    const state = this._leaving.has(member.incarnation) ? 'leaving' : member.state
    const isKnown = known?.member.incarnation === member.incarnation && known.member.address === member.address && known.member.state === state
    next.set(member.id, isKnown ? known : { member: { ...member, state }, lastSeenAt: now })
  }
}

function hasSameMembers (a: ReadonlyMap<string, MemberView>, b: ReadonlyMap<string, MemberView>): boolean {
  if (a.size !== b.size) return false
  for (const [id, view] of b) if (a.get(id) !== view) return false
  return true
}
