/**
 * The agent role for job graphs: controls the workers on its host, reports to the planner, and is a candidate for the planner's
 * leader role.
 */
import type { RunWorker, Store } from '@dragonflylever/adapters'
import type { FleetPolicy, PlannerTimes } from '@dragonflylever/core/graphs/index'
import type { PeerRpc } from '@dragonflylever/protocol'
import { Lifecycle, createPartLogger } from '@dragonflylever/runtime'
import type { ClientGuard, Logger, Metrics, RequestHandler } from '@dragonflylever/runtime'

import { PolicyWatcher } from '../jobEntry/policyWatcher.js'
import { computeEvacuationTimes } from '../jobPlanner/evacuationTimes.js'
import type { EvacuationSettings } from '../jobPlanner/evacuationWatcher.js'
import type { GraphKeys } from '../jobPlanner/graphKeys.js'
import { PlannerCandidate } from '../jobPlanner/plannerCandidate.js'
import { ControlServer } from '../shared/controlServer.js'
import type { NodeRecord } from '../storeRelay/nodeDirectory.js'
import { RELAY_PATH } from '../storeRelay/relayedCaller.js'
import { PlannerLink } from './plannerLink.js'
import type { WorkerAnnouncement } from './workerController.js'
import { WorkerTable } from './workerTable.js'

const REGISTER_RETRY_MS = 500

/** Dependencies of {@link JobAgentProcess}. */
export interface JobAgentDependencies {
  readonly name: string
  readonly region: string
  /** Control address at which other processes call this one. */
  readonly address: string
  /** Unique identifier of this start of the process; it distinguishes this process from an earlier one of the same agent. */
  readonly start: string
  readonly store: Store
  readonly prefix: string
  readonly keys: GraphKeys
  readonly policyKey: string
  readonly decodePolicy: (text: string) => FleetPolicy | undefined
  /** Time within which a change of the declarations must be in force, in milliseconds. */
  readonly applyMs: number
  readonly peers: PeerRpc
  readonly clusterKey: string
  /** Guards the process's servers against clients outside the limits. */
  readonly guard: ClientGuard
  readonly logger: Logger
  readonly metrics: Metrics
  readonly times: PlannerTimes
  /** Where operators request evacuations of failure domains; absent if they can't. */
  readonly evacuations?: EvacuationSettings | undefined
  /** Delay before this process attempts to become the planner when there is none, in milliseconds. */
  readonly plannerDelayMs: number
  readonly openWorker: (announcement: WorkerAnnouncement) => RunWorker
  /** True to publish the admission forecast while this process is the planner; false when absent. */
  readonly isAdmissionOn?: boolean
  /** Handler of the requests to relay store calls of other processes. */
  readonly relay: RequestHandler
}

export class JobAgentProcess {
  readonly workers: WorkerTable
  private readonly _dependencies: JobAgentDependencies
  private readonly _lifecycle = new Lifecycle()
  private readonly _control: ControlServer
  private readonly _candidate: PlannerCandidate
  private readonly _link: PlannerLink
  private readonly _policy: PolicyWatcher
  private _isStopping = false

  constructor (dependencies: JobAgentDependencies) {
    this._dependencies = dependencies
    const { store, prefix, keys, name, address, peers, logger, metrics, times, evacuations } = dependencies
    this._control = new ControlServer({ clusterKey: dependencies.clusterKey, guard: dependencies.guard, logger: createPartLogger(logger, 'control') })
    this._control.add(RELAY_PATH, dependencies.relay)
    this._policy = new PolicyWatcher({ store, key: dependencies.policyKey, decode: dependencies.decodePolicy, logger: createPartLogger(logger, 'config'), metrics, applyMs: dependencies.applyMs })
    this._candidate = new PlannerCandidate({
      store,
      prefix,
      keys,
      name,
      address,
      peers,
      logger: createPartLogger(logger, 'planner'),
      metrics,
      times,
      evacuations,
      delayMs: dependencies.plannerDelayMs,
      isAdmissionOn: dependencies.isAdmissionOn === true,
      getPolicy: () => this._policy.index,
      onSessionChange: isOpen => this._onSessionChange(isOpen),
      onPlannerChange: () => this._link.onPlannerChange()
    })
    this.workers = new WorkerTable({
      region: dependencies.region,
      runLeaseMs: times.runLeaseMs,
      startValidityMs: evacuations === undefined ? undefined : computeEvacuationTimes(evacuations.boundMs).startValidityMs,
      logger: createPartLogger(logger, 'worker'),
      openWorker: dependencies.openWorker,
      onChange: () => this._link.reportChange()
    })
    this._link = new PlannerLink({
      peers,
      agent: name,
      address,
      start: dependencies.start,
      logger: createPartLogger(logger, 'link'),
      metrics,
      getPlanner: () => this._candidate.planner,
      collectReports: () => this.workers.collectReports(),
      applyOrders: (orders, epoch, collected, answeredSince) => this.workers.applyOrders(orders, epoch, collected, answeredSince)
    })
    this._lifecycle.add('control', () => this._control.close())
    this._lifecycle.add('workers', () => this.workers.close())
    this._lifecycle.add('link', () => this._link.close())
    this._lifecycle.add('declarations', () => this._policy.close())
  }

  async open (): Promise<void> {
    await this._control.open(this._dependencies.address)
    void this._storeAddress()
    await this._candidate.open(this._control.rpc)
  }

  /** Releases planner leadership first, so that another process can become the planner immediately. */
  async close (): Promise<void> {
    this._isStopping = true
    await this._candidate.close()
    await this._lifecycle.close()
  }

  /** Watches the declarations only while this process has an open planner session, since an agent needs them for nothing else. */
  private _onSessionChange (isOpen: boolean): void {
    if (isOpen) void this._policy.open()
    else if (!this._isStopping) this._policy.close()
  }

  /** Stores the address of this process, so that a new planner can announce itself even if this process can't read the leader's record. */
  private async _storeAddress (): Promise<void> {
    const { store, keys, name, address, region, logger } = this._dependencies
    const record: NodeRecord = { address, region }
    while (!this._isStopping) {
      const outcome = await store.put({ key: keys.getNodeKey(name), value: JSON.stringify(record), expect: { kind: 'any' } })
      if (outcome.kind === 'ok') return
      logger.debug({ outcome: outcome.kind }, 'failed to store the address of this process; retrying')
      await new Promise(resolve => setTimeout(resolve, REGISTER_RETRY_MS))
    }
  }
}
