/**
 * Logs which members join, change state and leave, as this process sees them.
 */
import type { Blackboard, Logger } from '@dragonflylever/runtime'

import type { FleetState, MemberView } from './fleetState.js'

export class MemberLog {
  private readonly _board: Blackboard<FleetState>
  private readonly _logger: Logger
  private readonly _endSubscription: () => void
  private _known: ReadonlyMap<string, MemberView> = new Map()

  constructor (board: Blackboard<FleetState>, logger: Logger) {
    this._board = board
    this._logger = logger
    this._endSubscription = board.subscribe('members', () => this._logChanges())
  }

  close (): void {
    this._endSubscription()
  }

  private _logChanges (): void {
    const members = this._board.get('members')
    for (const [id, { member }] of members) this._logChange(id, member.incarnation, member.state)
    for (const id of this._known.keys()) if (!members.has(id)) this._logger.info({ member: id }, 'member removed')
    this._known = members
  }

  private _logChange (id: string, incarnation: string, state: string): void {
    const known = this._known.get(id)?.member
    if (known?.incarnation !== incarnation) this._logger.info({ member: id, incarnation }, 'member joined')
    else if (known.state !== state) this._logger.info({ member: id }, `member ${state}`)
  }
}
