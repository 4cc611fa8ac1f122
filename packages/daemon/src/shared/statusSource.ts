/**
 * What a process can say of the fleet from its own memory, without the store.
 */
import type { FleetStatus, ProcessStatus } from '@dragonflylever/protocol'
import type { Store } from '@dragonflylever/platform'
import type { Blackboard } from '@dragonflylever/runtime'

import type { FleetFacts, MemberView } from './fleetFacts.js'

/** Gives the status of the fleet as this process sees it. */
export interface StatusSource {
  read (): FleetStatus
}

/** What the status is read from. */
export interface BoardStatusParts {
  readonly processId: string
  readonly board: Blackboard<FleetFacts>
  readonly store: Store
}

/** Reads the status from the blackboard. */
export class BoardStatusSource implements StatusSource {
  private readonly _parts: BoardStatusParts

  constructor (parts: BoardStatusParts) {
    this._parts = parts
  }

  read (): FleetStatus {
    const { board, store, processId } = this._parts
    const members = [...board.get('members').values()]
    const revision = board.get('configuration')?.revision ?? 0
    const newest = Math.max(revision, ...members.map(view => view.member.revision ?? 0))
    const processes = members.map(view => describeProcess(view, newest))
    processes.sort((a, b) => a.id < b.id ? -1 : 1)
    return { entry: processId, revision: newest, processes, duties: [], store: { health: store.health } }
  }
}

function describeProcess ({ member, lastSeenAt }: MemberView, newest: number): ProcessStatus {
  return {
    id: member.id,
    role: member.role,
    state: member.state,
    region: member.region,
    failureDomain: member.failureDomain,
    address: member.address,
    ...(member.revision === undefined ? {} : { revision: member.revision }),
    isBehind: (member.revision ?? 0) < newest,
    silentMs: Math.round(performance.now() - lastSeenAt)
  }
}
