/**
 * Leadership of the gang planner: this process tries to become the leader and runs a planner session while it is.
 */
import type { Store } from '@dragonflylever/adapters'
import type { PeerRpc, RpcRegistry } from '@dragonflylever/protocol'
import type { Blackboard, Logger, Metrics } from '@dragonflylever/runtime'

import { LeaderElector, decodeLeaderRecord, getLeaderKey } from '../duties/leaderElector.js'
import type { FleetState } from '../shared/fleetState.js'
import { listGuarantees, listPlannedWorkers } from './plannedWorkers.js'
import { PlannerSession } from './plannerSession.js'

/** Name of the leader role, which is part of its key in the store. */
export const PLANNER_ROLE = 'planner'
const ACQUIRE_INTERVAL_MS = 2_000
const CALL_TIMEOUT_MS = 2_000

/** Dependencies of {@link PlannerLeadership}. */
export interface PlannerLeadershipDependencies {
  readonly id: string
  readonly store: Store
  readonly prefix: string
  readonly peers: PeerRpc
  readonly board: Blackboard<FleetState>
  readonly logger: Logger
  readonly metrics: Metrics
  /** Returns this process's control address. */
  readonly getAddress: () => string
}

export class PlannerLeadership {
  private readonly _dependencies: PlannerLeadershipDependencies
  private readonly _elector: LeaderElector
  private readonly _unsubscribes: Array<() => void> = []
  private _session: PlannerSession | undefined
  private _retryTimer: NodeJS.Timeout | undefined
  private _isClosed = false

  constructor (dependencies: PlannerLeadershipDependencies) {
    this._dependencies = dependencies
    const { store, prefix, logger, getAddress } = dependencies
    this._elector = new LeaderElector({ store, prefix, duty: PLANNER_ROLE, holder: dependencies.id, getAddress, logger, onLost: () => this._endSession() })
    this._unsubscribes.push(dependencies.board.subscribe('members', () => this._session?.updateWorkers()))
    this._unsubscribes.push(dependencies.board.subscribe('configuration', () => this._session?.updateWorkers()))
  }

  /** Registers the RPCs that agents and entries call, and starts the attempts to become leader. */
  start (rpc: RpcRegistry): void {
    rpc.add('taskRenew', params => this._session?.renewTasks(params) ?? { renewed: [], orphans: [] })
    rpc.add('explainJob', params => this._session?.explain(params.jobId) ?? { reasons: ['this process is not the planner'] })
    void this._tryAcquire()
  }

  /** Asks the leading planner why a job is waiting; resolves with undefined if there is no leader or it cannot be reached. */
  async explain (jobId: string): Promise<{ reasons: string[], expectedStartAt: number | undefined } | undefined> {
    if (this._session !== undefined) return copyExplanation(this._session.explain(jobId))
    const found = await this._dependencies.store.get(getLeaderKey(this._dependencies.prefix, PLANNER_ROLE))
    if (found.kind !== 'ok' || found.value === undefined) return undefined
    const leader = decodeLeaderRecord(PLANNER_ROLE, found.value)
    if (leader === undefined) return undefined
    const outcome = await this._dependencies.peers.call(leader.address, 'explainJob', { jobId }, CALL_TIMEOUT_MS)
    return outcome.kind === 'ok' ? copyExplanation(outcome.value) : undefined
  }

  /** Ends the session and releases the leadership; running gangs continue under the next leader. */
  async close (): Promise<void> {
    this._isClosed = true
    clearTimeout(this._retryTimer)
    for (const stop of this._unsubscribes) stop()
    this._endSession()
    await this._elector.release()
  }

  private async _tryAcquire (): Promise<void> {
    if (this._session === undefined && !this._dependencies.board.get('isLeaving')) {
      const outcome = await this._elector.tryAcquire()
      if (outcome.kind === 'held') await this._openSession(outcome.epoch)
    }
    if (!this._isClosed) this._retryTimer = setTimeout(() => { void this._tryAcquire() }, ACQUIRE_INTERVAL_MS)
  }

  private async _openSession (epoch: number): Promise<void> {
    if (this._isClosed || this._session !== undefined) return
    const { store, prefix, peers, board, logger, metrics, getAddress } = this._dependencies
    this._session = new PlannerSession({
      store,
      prefix,
      peers,
      logger,
      metrics,
      epoch,
      address: getAddress(),
      isLeader: () => this._elector.epoch === epoch,
      listWorkers: () => listPlannedWorkers([...board.get('members').values()].map(view => view.member)),
      listGuarantees: () => listGuarantees(board.get('configuration')?.declarations),
      onFenced: () => this._endSession()
    })
    await this._session.open()
  }

  private _endSession (): void {
    this._session?.close()
    this._session = undefined
  }
}

function copyExplanation (explanation: { reasons: string[], expectedStartAt?: number | undefined }): { reasons: string[], expectedStartAt: number | undefined } {
  return { reasons: explanation.reasons, expectedStartAt: explanation.expectedStartAt }
}
