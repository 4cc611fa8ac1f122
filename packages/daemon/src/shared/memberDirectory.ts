/**
 * Members as heartbeats bring them: alive while heard of, gone after silence or leaving.
 */
import type { Member } from '@dragonflylever/protocol'
import type { Blackboard, Logger } from '@dragonflylever/runtime'

import type { FleetFacts } from './fleetFacts.js'

/** Silence after which a member counts as dead, in milliseconds. */
export const MEMBER_TIMEOUT_MS = 2_500
const SWEEP_MS = 250

export class MemberDirectory {
  private readonly _board: Blackboard<FleetFacts>
  private readonly _logger: Logger
  private readonly _sweep: NodeJS.Timeout
  private readonly _left = new Set<string>()

  constructor (board: Blackboard<FleetFacts>, logger: Logger) {
    this._board = board
    this._logger = logger
    this._sweep = setInterval(() => this._dropSilent(), SWEEP_MS)
  }

  /** Notes a sign of life. */
  note (member: Member): void {
    if (this._left.has(member.incarnation)) return
    const members = this._board.get('members')
    const known = members.get(member.id)
    const next = new Map(members).set(member.id, { member, lastSeenAt: performance.now() })
    this._board.set('members', next)
    if (known?.member.incarnation !== member.incarnation) this._logger.info({ member: member.id, address: member.address }, 'member joined')
  }

  /** Notes that a member has ended; a leaving one stays a member until then. */
  leave (member: Member): void {
    this._left.add(member.incarnation)
    const known = this._board.get('members').get(member.id)
    if (known?.member.incarnation === member.incarnation) this._remove(member.id, 'member left')
  }

  close (): void {
    clearInterval(this._sweep)
  }

  private _dropSilent (): void {
    const limit = performance.now() - MEMBER_TIMEOUT_MS
    for (const [id, view] of this._board.get('members')) {
      if (view.lastSeenAt < limit) this._remove(id, 'member silent')
    }
  }

  private _remove (id: string, message: string): void {
    const next = new Map(this._board.get('members'))
    next.delete(id)
    this._board.set('members', next)
    this._logger.info({ member: id }, message)
  }
}
