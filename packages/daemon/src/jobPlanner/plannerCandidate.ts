/**
 * The duty of planning job graphs at one process: follows who holds it, tries for it when nobody does, and runs a session
 * while it is held here.
 */
import type { Store } from '@dragonflylever/adapters'
import type { PlannerTimes, PolicyIndex } from '@dragonflylever/core/graphs/index'
import type { PeerRpc, RpcRegistry } from '@dragonflylever/protocol'
import type { Logger, Metrics } from '@dragonflylever/runtime'

import { DutyFollower } from '../duties/dutyFollower.js'
import { DutyHolder, getDutyKey } from '../duties/dutyHolder.js'
import type { DutyView } from '../duties/dutyHolder.js'
import type { GraphKeys } from './graphKeys.js'
import { GraphSession } from './graphSession.js'

const PLANNER_DUTY = 'graph-planner'
/** Short, so that a dead holder is replaced soon; the store allows one second and more. */
const DUTY_TIMES = { ttlMs: 3_000, renewIntervalMs: 800 } as const
/** Age of the last proof of the duty up to which leases may be extended; see docs/design/platform.md. */
const GRANT_PROOF_MS = 5_000
const CHECK_MS = 500

/** How much longer than its lease a former holder may have permitted extensions, in milliseconds. */
export const FORMER_PLANNER_MS = GRANT_PROOF_MS - DUTY_TIMES.ttlMs

/** What a candidate works with. */
export interface PlannerCandidateParts {
  readonly store: Store
  readonly prefix: string
  readonly keys: GraphKeys
  readonly name: string
  readonly address: string
  readonly peers: PeerRpc
  readonly logger: Logger
  readonly metrics: Metrics
  readonly times: PlannerTimes
  /** Pause before this process tries for a vacant duty, in milliseconds. */
  readonly delayMs: number
  readonly getPolicy: () => PolicyIndex | undefined
  /** Called when the session begins or ends. */
  readonly onSession: (isOpen: boolean) => void
  /** Called when the holder changes. */
  readonly onPlanner: () => void
}

export class PlannerCandidate {
  private readonly _parts: PlannerCandidateParts
  private readonly _follower: DutyFollower
  private readonly _holder: DutyHolder
  private readonly _timer: NodeJS.Timeout
  private _session: GraphSession | undefined
  private _attempt: NodeJS.Timeout | undefined
  private _isClosed = false

  constructor (parts: PlannerCandidateParts) {
    this._parts = parts
    const { store, prefix, logger, name, address } = parts
    this._follower = new DutyFollower({ store, prefix, duty: PLANNER_DUTY, logger, onChange: view => this._onChange(view) })
    this._holder = new DutyHolder({
      store,
      prefix,
      duty: PLANNER_DUTY,
      holder: name,
      getAddress: () => address,
      logger,
      onLost: () => this._endSession(),
      onProof: begunAt => this._session?.planner.noteProof(begunAt.monotonicMs),
      times: DUTY_TIMES,
      isFencedByStore: true
    })
    this._timer = setInterval(() => { if (this._follower.isVacant) this._schedule() }, CHECK_MS)
  }

  /** Who plans, as far as is known here. */
  get planner (): DutyView | undefined {
    return this._follower.view
  }

  /** The session, while this process plans. */
  get session (): GraphSession | undefined {
    return this._session
  }

  /** Serves reports, and begins to follow the duty. */
  async open (rpc: RpcRegistry): Promise<void> {
    rpc.add('workerReports', async params => this._session?.takeReports(params) ?? { orders: [] })
    rpc.add('plannerChanged', params => {
      this._follower.note({ duty: PLANNER_DUTY, holder: '', address: params.address, epoch: params.epoch })
      return {}
    })
    await this._follower.open()
  }

  /** Gives the duty up, so that another process can take it at once. */
  async close (): Promise<void> {
    this._isClosed = true
    clearInterval(this._timer)
    clearTimeout(this._attempt)
    this._follower.close()
    this._endSession()
    await this._holder.release()
  }

  private _onChange (view: DutyView | undefined): void {
    if (view === undefined || this._isLeftBehind(view)) return this._schedule()
    clearTimeout(this._attempt)
    this._attempt = undefined
    if (view.epoch !== this._holder.epoch && this._holder.epoch !== undefined && view.epoch > this._holder.epoch) this._holder.noteLoss()
    this._parts.onPlanner()
  }

  /** True for the duty of an earlier process under this name and address. */
  private _isLeftBehind (view: DutyView): boolean {
    return view.holder === this._parts.name && view.address === this._parts.address && view.epoch !== this._holder.epoch
  }

  private _schedule (): void {
    if (this._isClosed || this._session !== undefined) return
    this._attempt ??= setTimeout(() => { void this._try() }, this._parts.delayMs)
  }

  private async _try (): Promise<void> {
    const outcome = await this._holder.take()
    this._attempt = undefined
    if (outcome.kind === 'unavailable') this._parts.logger.warn({ message: outcome.message }, 'the planner\'s duty could not be taken')
    if (outcome.kind === 'other') this._follower.note(outcome.view)
    if (outcome.kind === 'held' && !this._isClosed) await this._beginSession(outcome.epoch)
  }

  private async _beginSession (epoch: number): Promise<void> {
    if (this._session !== undefined) return
    const { store, prefix, keys, address, peers, logger, metrics, times, getPolicy, name } = this._parts
    this._follower.note({ duty: PLANNER_DUTY, holder: name, address, epoch })
    const session = new GraphSession({
      store,
      keys,
      dutyKey: getDutyKey(prefix, PLANNER_DUTY),
      epoch,
      address,
      peers,
      logger,
      metrics,
      times,
      mayGrant: () => this._holder.provenAgeMs < GRANT_PROOF_MS,
      getPolicy,
      onProof: begunAt => this._holder.noteProof(begunAt),
      onFenced: () => this._holder.noteLoss()
    })
    this._session = session
    this._parts.onSession(true)
    await session.open()
  }

  private _endSession (): void {
    const session = this._session
    if (session === undefined) return
    this._session = undefined
    session.close()
    this._parts.logger.info({}, 'planner\'s session ended')
    this._parts.onSession(false)
  }
}
