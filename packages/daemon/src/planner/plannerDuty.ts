/**
 * The planner as a duty: this process tries to hold it, and runs a session for as long as it does.
 */
import type { Store } from '@dragonflylever/adapters'
import type { PeerRpc, RpcRegistry } from '@dragonflylever/protocol'
import type { Blackboard, Logger, Metrics } from '@dragonflylever/runtime'

import { DutyHolder, decodeDuty, getDutyKey } from '../duties/dutyHolder.js'
import type { FleetFacts } from '../shared/fleetFacts.js'
import { listGuarantees, listPlannedWorkers } from './plannedWorkers.js'
import { PlannerSession } from './plannerSession.js'

/** Name of the duty. */
export const PLANNER_DUTY = 'planner'
const TRY_MS = 2_000
const CALL_TIMEOUT_MS = 2_000

/** What the duty works with. */
export interface PlannerDutyParts {
  readonly id: string
  readonly store: Store
  readonly prefix: string
  readonly peers: PeerRpc
  readonly board: Blackboard<FleetFacts>
  readonly logger: Logger
  readonly metrics: Metrics
  /** Returns this process's control address. */
  readonly getAddress: () => string
}

export class PlannerDuty {
  private readonly _parts: PlannerDutyParts
  private readonly _holder: DutyHolder
  private readonly _stops: Array<() => void> = []
  private _session: PlannerSession | undefined
  private _timer: NodeJS.Timeout | undefined
  private _isClosed = false

  constructor (parts: PlannerDutyParts) {
    this._parts = parts
    const { store, prefix, logger, getAddress } = parts
    this._holder = new DutyHolder({ store, prefix, duty: PLANNER_DUTY, holder: parts.id, getAddress, logger, onLost: () => this._endSession() })
    this._stops.push(parts.board.subscribe('members', () => this._session?.updateWorkers()))
    this._stops.push(parts.board.subscribe('configuration', () => this._session?.updateWorkers()))
  }

  /** Serves the calls of agents and entries, and begins to try for the duty. */
  start (rpc: RpcRegistry): void {
    rpc.add('taskRenew', params => this._session?.renew(params) ?? { renewed: [], orphans: [] })
    rpc.add('explainJob', params => this._session?.explain(params.jobId) ?? { reasons: ['this process is not the planner'] })
    void this._try()
  }

  /** Asks whoever is the planner why a job waits; undefined when it can't be reached. */
  async explain (jobId: string): Promise<{ reasons: string[], expectedStartAt: number | undefined } | undefined> {
    if (this._session !== undefined) return describeStart(this._session.explain(jobId))
    const found = await this._parts.store.get(getDutyKey(this._parts.prefix, PLANNER_DUTY))
    if (found.kind !== 'ok' || found.value === undefined) return undefined
    const { address } = decodeDuty(PLANNER_DUTY, found.value)
    const outcome = await this._parts.peers.call(address, 'explainJob', { jobId }, CALL_TIMEOUT_MS)
    return outcome.kind === 'ok' ? describeStart(outcome.value) : undefined
  }

  /** Gives the duty up; running gangs go on under the next holder. */
  async close (): Promise<void> {
    this._isClosed = true
    clearTimeout(this._timer)
    for (const stop of this._stops) stop()
    this._endSession()
    await this._holder.release()
  }

  private async _try (): Promise<void> {
    if (this._session === undefined && !this._parts.board.get('isLeaving')) {
      const outcome = await this._holder.take()
      if (outcome.kind === 'held') await this._openSession(outcome.epoch)
    }
    if (!this._isClosed) this._timer = setTimeout(() => { void this._try() }, TRY_MS)
  }

  private async _openSession (epoch: number): Promise<void> {
    if (this._isClosed || this._session !== undefined) return
    const { store, prefix, peers, board, logger, metrics, getAddress } = this._parts
    this._session = new PlannerSession({
      store,
      prefix,
      peers,
      logger,
      metrics,
      epoch,
      address: getAddress(),
      isHolding: () => this._holder.epoch === epoch,
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

function describeStart (told: { reasons: string[], expectedStartAt?: number | undefined }): { reasons: string[], expectedStartAt: number | undefined } {
  return { reasons: told.reasons, expectedStartAt: told.expectedStartAt }
}
