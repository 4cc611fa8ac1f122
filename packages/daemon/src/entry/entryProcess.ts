/**
 * The entry role: accepts callers' requests, dispatches them to agents, and serves the operators.
 */
import { FairQueue, FleetRouter, computeEntryCapacity } from '@dragonflylever/core'
import type { EntrySettings, Member, QueueReport } from '@dragonflylever/protocol'
import { Blackboard, Lifecycle, createPartLogger } from '@dragonflylever/runtime'

import { createJobApi } from '../jobs/createJobApi.js'
import { createOperatorServer } from '../operators/createOperatorServer.js'
import { FleetNode } from '../fleet/fleetNode.js'
import { PlannerLeadership } from '../planner/plannerLeadership.js'
import { ControlServer } from '../shared/controlServer.js'
import { countEntries, createInitialFleetState } from '../shared/fleetState.js'
import type { FleetState } from '../shared/fleetState.js'
import { MemberLog } from '../shared/memberLog.js'
import { createProcessDependencies } from '../shared/processDependencies.js'
import type { ProcessDependencies } from '../shared/processDependencies.js'
import { QueueMetrics } from '../shared/queueMetrics.js'
import { syncQueuePolicy } from '../shared/requestPolicy.js'
import { AgentLink } from './agentLink.js'
import { AgentTable, computeConnectionShare } from './agentTable.js'
import { CallerServer } from './callerServer.js'
import { ClaimLease } from './claimLease.js'
import { ClaimService } from './claimService.js'
import { ClaimWriter } from './claimWriter.js'
import { Dispatcher } from './dispatcher.js'
import { DispatchService } from './requestService.js'

const MAX_WAITING = 4_096
/** Bytes per second that all entries together may send over the link between regions: half of 20 Mbit/s. */
const LINK_BYTES_PER_SECOND = 1_250_000
const DEFAULT_AGENT_CONNECTIONS = 60
/**
 * How long an entry keeps serving requests after it starts to shut down, in milliseconds, so that the load balancer sees that the entry is
 * leaving and stops sending requests.
 */
const LEAVE_GRACE_MS = 1_500

export class EntryProcess {
  readonly board = new Blackboard<FleetState>(createInitialFleetState())
  private readonly _settings: EntrySettings
  private readonly _dependencies: ProcessDependencies
  private readonly _lifecycle = new Lifecycle()
  private readonly _queue = new FairQueue({ maxWaiting: MAX_WAITING, slots: 0, fleetSlots: 1 })
  private _callerAddress = ''
  private _controlAddress = ''
  private _operatorAddress = ''
  private _stopping: Promise<void> | undefined

  private constructor (settings: EntrySettings, dependencies: ProcessDependencies) {
    this._settings = settings
    this._dependencies = dependencies
  }

  /** Starts an entry; rejects when an address cannot be bound. */
  static async start (settings: EntrySettings, overrides: Partial<ProcessDependencies> = {}): Promise<EntryProcess> {
    const entry = new EntryProcess(settings, await createProcessDependencies(settings, overrides))
    await entry._open()
    return entry
  }

  /** Address at which the entry serves callers, as IP:PORT. */
  get callerAddress (): string {
    return this._callerAddress
  }

  /** Address at which the entry serves RPC calls of other processes, as IP:PORT. */
  get controlAddress (): string {
    return this._controlAddress
  }

  /** Address at which the entry serves operators, as IP:PORT. */
  get operatorAddress (): string {
    return this._operatorAddress
  }

  /** Returns a report on the waiting and running requests of this entry, with the reasons why requests wait, by class and organisation. */
  describeQueue (): QueueReport {
    return this._queue.describe()
  }

  /** Shuts down gracefully: requests in progress are finished first. Every call returns the same promise. */
  stop (): Promise<void> {
    this._stopping ??= this._stop()
    return this._stopping
  }

  private async _open (): Promise<void> {
    const { store, peers, logger, metrics, tracer, random, guard } = this._dependencies
    const log = createPartLogger(logger, 'entry')
    this._lifecycle.add('tracer', () => tracer.close())
    this._lifecycle.add('metrics', () => metrics.close())
    this._lifecycle.add('client guard', () => guard.close())
    this._lifecycle.add('store', () => store.close())
    this._lifecycle.add('peers', () => peers.close())
    const dispatcher = this._createDispatcher(random)
    const planner = this._createPlanner()
    const server = new CallerServer({
      jobs: createJobApi({ settings: this._settings, store, board: this.board, planner }),
      board: this.board,
      service: this._createService(dispatcher),
      metrics,
      tracer,
      organisationKeys: this._settings.organisationKeys,
      guard,
      logger: log
    })
    const memberLog = new MemberLog(this.board, createPartLogger(logger, 'members'))
    this._lifecycle.add('member log', () => memberLog.close())
    const control = new ControlServer({ clusterKey: this._settings.clusterKey, guard, logger: createPartLogger(logger, 'control') })
    const node = this._createNode(control)
    this._controlAddress = await control.open(this._settings.listen.control)
    this._lifecycle.add('control server', () => control.close())
    this._lifecycle.add('membership', () => node.close())
    await node.start()
    planner.start(control.rpc)
    const operators = createOperatorServer({ settings: this._settings, board: this.board, store, holder: node.holder, logger, guard, describeQueue: () => this.describeQueue(), collectRevisions: () => node.collectRevisions() })
    this._operatorAddress = await operators.open(this._settings.listen.operators)
    this._lifecycle.add('operator server', () => operators.close())
    this._callerAddress = await server.open(this._settings.listen.callers)
    this._lifecycle.add('caller server', () => server.close())
    log.info({ callers: this._callerAddress, control: this._controlAddress, operators: this._operatorAddress }, 'started')
  }

  private _createPlanner (): PlannerLeadership {
    const { store, peers, logger, metrics } = this._dependencies
    const planner = new PlannerLeadership({
      id: this._settings.id,
      store,
      prefix: this._settings.store.prefix,
      peers,
      board: this.board,
      logger: createPartLogger(logger, 'planner'),
      metrics,
      getAddress: () => this._controlAddress
    })
    this._lifecycle.add('planner', () => planner.close())
    return planner
  }

  private _createDispatcher (random: ProcessDependencies['random']): Dispatcher {
    const agents = new AgentTable()
    const sender = new AgentLink({
      entryId: this._settings.id,
      clusterKey: this._settings.clusterKey,
      connectionLimit: computeConnectionShare(DEFAULT_AGENT_CONNECTIONS, 1)
    })
    const queue = this._queue
    syncQueuePolicy(this.board, queue)
    const queueMetrics = new QueueMetrics({ metrics: this._dependencies.metrics, describe: () => queue.describe() })
    this._lifecycle.add('queue metrics', () => queueMetrics.close())
    const router = new FleetRouter({ region: this._settings.region, random, linkBytesPerSecond: LINK_BYTES_PER_SECOND })
    const dispatcher = new Dispatcher({ queue, router, agents, sender, peers: this._dependencies.peers })
    this.board.subscribe('members', () => {
      dispatcher.abortAttempts(agents.update(this.board.get('members')))
      sender.closeConnectionsExcept(agents.listAddresses())
      sender.setConnectionLimit(computeConnectionShare(DEFAULT_AGENT_CONNECTIONS, agents.entries))
      router.setRegionLimits(countEntries(this.board.get('members'), this._settings.region), LINK_BYTES_PER_SECOND / agents.entries)
      queue.setCapacity(computeEntryCapacity(agents.listAvailable(), agents.entries))
      dispatcher.startWaitingRequests()
    })
    this._lifecycle.add('agent links', () => sender.close())
    this._lifecycle.add('dispatcher', () => dispatcher.close())
    return dispatcher
  }

  private _createService (dispatcher: Dispatcher): ClaimService {
    const { store, random } = this._dependencies
    const writer = new ClaimWriter({ store, random, lease: new ClaimLease(store) })
    const service = new ClaimService({ store, writer, inner: new DispatchService(dispatcher), prefix: this._settings.store.prefix })
    this._lifecycle.add('claims', () => service.drain())
    return service
  }

  private _createNode (control: ControlServer): FleetNode {
    const { store, peers, logger, random } = this._dependencies
    const { id, role, region, failureDomain, join, store: { prefix } } = this._settings
    const describe = (): Member => this._describeMember()
    return new FleetNode({ id, role, region, failureDomain, join, prefix, board: this.board, store, peers, rpc: control.rpc, random, logger, describe })
  }

  private async _stop (): Promise<void> {
    this.board.set('isLeaving', true)
    await new Promise(resolve => setTimeout(resolve, LEAVE_GRACE_MS))
    const report = await this._lifecycle.close()
    for (const failure of report.failed) this._dependencies.logger.error(failure, 'a component failed to close')
  }

  private _describeMember (): Member {
    return {
      id: this._settings.id,
      role: 'entry',
      incarnation: this._dependencies.incarnation,
      region: this._settings.region,
      failureDomain: this._settings.failureDomain,
      address: this._controlAddress,
      state: this.board.get('isLeaving') ? 'leaving' : 'alive',
      revision: this.board.get('configuration')?.revision ?? 0
    }
  }
}
