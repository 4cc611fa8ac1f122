/**
 * Builds the status of the fleet from an entry's memory and the answers of the members, without reading the store.
 */
import type { FleetStatus, ProcessStatus } from '@dragonflylever/protocol'
import type { Store } from '@dragonflylever/adapters'
import type { Blackboard } from '@dragonflylever/runtime'

import type { FleetState, MemberView } from './fleetState.js'

/** Provides the status of the fleet as this process sees it. */
export interface StatusSource {
  read (): Promise<FleetStatus>
}

/** Dependencies of {@link FleetStatusSource}. */
export interface FleetStatusSourceDependencies {
  readonly processId: string
  readonly board: Blackboard<FleetState>
  readonly store: Store
  /** Returns the configuration revision in force at each member that answers, by member id. */
  readonly collectRevisions: () => Promise<ReadonlyMap<string, number>>
}

/** Builds the fleet's status from the state that this process shares among its components and the configuration revisions that the members report. */
export class FleetStatusSource implements StatusSource {
  private readonly _dependencies: FleetStatusSourceDependencies

  constructor (dependencies: FleetStatusSourceDependencies) {
    this._dependencies = dependencies
  }

  async read (): Promise<FleetStatus> {
    const { board, store, processId } = this._dependencies
    const revisions = await this._dependencies.collectRevisions()
    const members = [...board.get('members').values()]
    const revision = board.get('configuration')?.revision ?? 0
    const newest = Math.max(revision, ...revisions.values())
    const processes = members.map(view => describeProcess(view, revisions.get(view.member.id), newest))
    processes.sort((a, b) => a.id < b.id ? -1 : 1)
    const duties = [...board.get('duties').values()].map(({ duty, holder, epoch }) => ({ name: duty, holder, epoch }))
    const usage = board.get('storeUsage')
    const budget = usage === undefined ? {} : { budgetUsed: usage.budgetUsed }
    return { entry: processId, revision: newest, processes, duties, store: { health: store.health, ...budget } }
  }
}

function describeProcess ({ member, lastSeenAt }: MemberView, revision: number | undefined, newest: number): ProcessStatus {
  return {
    id: member.id,
    role: member.role,
    state: member.state,
    region: member.region,
    failureDomain: member.failureDomain,
    address: member.address,
    ...(revision === undefined ? {} : { revision }),
    isBehind: (revision ?? 0) < newest,
    silentMs: revision === undefined ? Math.round(performance.now() - lastSeenAt) : 0
  }
}
