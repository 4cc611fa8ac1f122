/**
 * Leader election for the graph planner at one process: watches the current leader, attempts to become leader when there is
 * none, and runs a planner session while this process is the leader.
 */
import type { Store } from '@dragonflylever/adapters'
import type { PlannerTimes, PolicyIndex } from '@dragonflylever/core/graphs/index'
import type { PeerRpc, RpcRegistry } from '@dragonflylever/protocol'
import type { Logger, Metrics } from '@dragonflylever/runtime'

import { LeaderWatcher } from '../duties/leaderWatcher.js'
import { LeaderElector, getLeaderKey } from '../duties/leaderElector.js'
import type { LeaderView } from '../duties/leaderElector.js'
import type { EvacuationSettings } from './evacuationWatcher.js'
import type { GraphKeys } from './graphKeys.js'
import { GraphSession } from './graphSession.js'

const PLANNER_ROLE = 'graph-planner'
/** Times of the leader's lease. They are short, so that a crashed leader is replaced quickly; the minimum TTL of a store lease is one second. */
const LEASE_TIMES = { ttlMs: 3_000, renewIntervalMs: 800 } as const
/**
 * The planner may extend leases of runs only if its leadership was confirmed less than this time ago, in milliseconds; see
 * docs/design/platform.md.
 */
const GRANT_CONFIRMATION_MAX_AGE_MS = 5_000
const VACANCY_CHECK_MS = 500

/** How long after the expiry of its own lease a former leader may still extend the leases of runs, in milliseconds. */
export const FORMER_LEADER_MS = GRANT_CONFIRMATION_MAX_AGE_MS - LEASE_TIMES.ttlMs

/** Dependencies of {@link PlannerCandidate}. */
export interface PlannerCandidateDependencies {
  readonly store: Store
  readonly prefix: string
  readonly keys: GraphKeys
  readonly name: string
  readonly address: string
  readonly peers: PeerRpc
  readonly logger: Logger
  readonly metrics: Metrics
  readonly times: PlannerTimes
  /** Where operators request evacuations of failure domains; absent if they can't. */
  readonly evacuations?: EvacuationSettings | undefined
  /** Delay before this process attempts to become leader when there is none, in milliseconds. */
  readonly delayMs: number
  /** True to publish the admission forecast; false when absent. */
  readonly isAdmissionOn?: boolean
  readonly getPolicy: () => PolicyIndex | undefined
  /** Called when a planner session starts or ends at this process. */
  readonly onSessionChange: (isOpen: boolean) => void
  /** Called when this process learns of a new planner. */
  readonly onPlannerChange: () => void
}

export class PlannerCandidate {
  private readonly _dependencies: PlannerCandidateDependencies
  private readonly _watcher: LeaderWatcher
  private readonly _elector: LeaderElector
  private readonly _checkTimer: NodeJS.Timeout
  private _session: GraphSession | undefined
  private _attemptTimer: NodeJS.Timeout | undefined
  private _isClosed = false

  constructor (dependencies: PlannerCandidateDependencies) {
    this._dependencies = dependencies
    const { store, prefix, logger, name, address } = dependencies
    this._watcher = new LeaderWatcher({ store, prefix, duty: PLANNER_ROLE, logger, onChange: leader => this._onLeaderChange(leader) })
    this._elector = new LeaderElector({
      store,
      prefix,
      duty: PLANNER_ROLE,
      holder: name,
      getAddress: () => address,
      logger,
      onLost: () => this._endSession(),
      onLeadershipConfirmed: callStartedAt => this._session?.planner.recordLeadershipConfirmed(callStartedAt.monotonicMs),
      times: LEASE_TIMES,
      isFencedByStore: true
    })
    this._checkTimer = setInterval(() => { if (this._watcher.isVacant) this._scheduleAcquireAttempt() }, VACANCY_CHECK_MS)
  }

  /** The last planner known to this process; undefined if none has been known yet. */
  get planner (): LeaderView | undefined {
    return this._watcher.leader
  }

  /** The planner session; undefined while this process is not the leader. */
  get session (): GraphSession | undefined {
    return this._session
  }

  /** Registers the RPCs that agents and new planners call, and starts to watch the leader. */
  async open (rpc: RpcRegistry): Promise<void> {
    rpc.add('workerReports', async params => this._session?.acceptReports(params) ?? { orders: [] })
    rpc.add('plannerChanged', params => {
      this._watcher.acceptLeader({ duty: PLANNER_ROLE, holder: '', address: params.address, epoch: params.epoch })
      return {}
    })
    await this._watcher.open()
  }

  /** Ends the session and releases leadership, so that another process can become leader immediately. */
  async close (): Promise<void> {
    this._isClosed = true
    clearInterval(this._checkTimer)
    clearTimeout(this._attemptTimer)
    this._watcher.close()
    this._endSession()
    await this._elector.release()
  }

  private _onLeaderChange (leader: LeaderView | undefined): void {
    if (leader === undefined || this._isFromEarlierProcess(leader)) return this._scheduleAcquireAttempt()
    clearTimeout(this._attemptTimer)
    this._attemptTimer = undefined
    if (leader.epoch !== this._elector.epoch && this._elector.epoch !== undefined && leader.epoch > this._elector.epoch) this._elector.recordLeadershipLost('a later leader is known')
    this._dependencies.onPlannerChange()
  }

  /** Returns true if the leader record was written by an earlier process with the name and address of this one. */
  private _isFromEarlierProcess (leader: LeaderView): boolean {
    return leader.holder === this._dependencies.name && leader.address === this._dependencies.address && leader.epoch !== this._elector.epoch
  }

  private _scheduleAcquireAttempt (): void {
    if (this._isClosed || this._session !== undefined) return
    this._attemptTimer ??= setTimeout(() => { void this._tryAcquire() }, this._dependencies.delayMs)
  }

  private async _tryAcquire (): Promise<void> {
    const outcome = await this._elector.tryAcquire()
    this._attemptTimer = undefined
    if (outcome.kind === 'unavailable') this._dependencies.logger.warn({ message: outcome.message }, 'could not acquire planner leadership; will retry')
    if (outcome.kind === 'other') this._watcher.acceptLeader(outcome.view)
    if (outcome.kind === 'held' && !this._isClosed) await this._beginSession(outcome.epoch)
  }

  private async _beginSession (epoch: number): Promise<void> {
    if (this._session !== undefined) return
    const { store, prefix, keys, address, peers, logger, metrics, times, evacuations, getPolicy, name } = this._dependencies
    this._watcher.acceptLeader({ duty: PLANNER_ROLE, holder: name, address, epoch })
    const session = new GraphSession({
      store,
      keys,
      leaderKey: getLeaderKey(prefix, PLANNER_ROLE),
      epoch,
      address,
      peers,
      logger,
      metrics,
      times,
      evacuations,
      mayGrant: () => this._elector.leadershipConfirmedAgeMs < GRANT_CONFIRMATION_MAX_AGE_MS,
      getPolicy,
      isAdmissionOn: this._dependencies.isAdmissionOn === true,
      onLeadershipConfirmed: callStartedAt => this._elector.recordLeadershipConfirmed(callStartedAt),
      onFenced: reason => this._elector.recordLeadershipLost(reason)
    })
    this._session = session
    this._dependencies.onSessionChange(true)
    await session.open()
  }

  private _endSession (): void {
    const session = this._session
    if (session === undefined) return
    this._session = undefined
    session.close()
    this._dependencies.logger.info({}, 'this process stopped acting as the planner')
    this._dependencies.onSessionChange(false)
  }
}
