/**
 * The agent role: serves the dispatches of entries at one endpoint and, with a worker, runs tasks of gangs. All requests to the endpoint go
 * through its agent.
 */
import { AttemptTracker, FairQueue } from '@dragonflylever/core'
import { HttpEndpoint, HttpWorker } from '@dragonflylever/adapters'
import type { Endpoint, Worker } from '@dragonflylever/adapters'
import { CallerLimit, DISPATCH_PATH } from '@dragonflylever/protocol'
import type { AgentSettings, Member } from '@dragonflylever/protocol'
import { Blackboard, Lifecycle, createPartLogger } from '@dragonflylever/runtime'

import { FleetNode } from '../fleet/fleetNode.js'
import { ControlServer } from '../shared/controlServer.js'
import { createInitialFleetState } from '../shared/fleetState.js'
import type { FleetState } from '../shared/fleetState.js'
import { createProcessDependencies } from '../shared/processDependencies.js'
import type { ProcessDependencies } from '../shared/processDependencies.js'
import { syncQueuePolicy } from '../shared/requestPolicy.js'
import { createTaskService } from './createTaskService.js'
import { DispatchConnections } from './dispatchConnections.js'
import { DispatchHandler } from './dispatchHandler.js'
import { SlotRunner } from './slotRunner.js'
import type { TaskRunner } from './taskRunner.js'

const MAX_TRACKED_ATTEMPTS = 50_000
/**
 * How long an attempt is remembered after its end or withdrawal, in milliseconds, so that a duplicated or late dispatch of the attempt does
 * not run; longer than any dispatch can be in progress.
 */
const ATTEMPT_RETENTION_MS = CallerLimit.maxDeadlineMs + 60_000

/** External dependencies of {@link AgentProcess}; tests replace some of them. */
export interface AgentDependencies extends ProcessDependencies {
  readonly endpoint: Endpoint
  /** Worker that runs tasks of gangs on this host; undefined when the host only serves requests. */
  readonly worker: Worker | undefined
}

export class AgentProcess {
  readonly board = new Blackboard<FleetState>(createInitialFleetState())
  private readonly _settings: AgentSettings
  private readonly _dependencies: AgentDependencies
  private readonly _lifecycle = new Lifecycle()
  private _controlAddress = ''
  private _stopping: Promise<void> | undefined

  private constructor (settings: AgentSettings, dependencies: AgentDependencies) {
    this._settings = settings
    this._dependencies = dependencies
  }

  /** Starts an agent; rejects when its address cannot be bound. */
  static async start (settings: AgentSettings, overrides: Partial<AgentDependencies> = {}): Promise<AgentProcess> {
    const endpoint = overrides.endpoint ?? new HttpEndpoint({ url: settings.endpoint.url, connections: settings.endpoint.slots })
    const worker = overrides.worker ?? (settings.worker === undefined ? undefined : new HttpWorker(settings.worker.url))
    const agent = new AgentProcess(settings, { ...await createProcessDependencies(settings, overrides), endpoint, worker })
    await agent._open()
    return agent
  }

  /** Address at which the agent serves dispatches and RPC calls of other processes, as IP:PORT. */
  get controlAddress (): string {
    return this._controlAddress
  }

  /** Shuts down gracefully: requests and tasks in progress are finished first. Every call returns the same promise. */
  stop (): Promise<void> {
    this._stopping ??= this._stop()
    return this._stopping
  }

  private async _open (): Promise<void> {
    const { store, peers, logger, metrics, tracer, endpoint, incarnation, guard } = this._dependencies
    const log = createPartLogger(logger, 'agent')
    this._lifecycle.add('tracer', () => tracer.close())
    this._lifecycle.add('metrics', () => metrics.close())
    this._lifecycle.add('client guard', () => guard.close())
    this._lifecycle.add('store', () => store.close())
    this._lifecycle.add('peers', () => peers.close())
    this._lifecycle.add('endpoint', () => endpoint.close())
    const runner = this._createSlotRunner(endpoint)
    const { clusterKey } = this._settings
    const control = new ControlServer({ clusterKey, guard, maxConnections: this._settings.endpoint.maxConnections, logger: log })
    const handler = new DispatchHandler({ runner, tracer, clusterKey, incarnation, isLeaving: () => this.board.get('isLeaving') })
    const connections = new DispatchConnections({ handler, maxConnections: this._settings.endpoint.maxConnections })
    control.add(DISPATCH_PATH, (request, response) => connections.handle(request, response))
    this._serveWithdrawals(control, runner)
    this._controlAddress = await control.open(this._settings.listen.control)
    const tasks = await this._createTaskRunner(control)
    const node = this._createNode(control)
    this._lifecycle.add('membership', () => node.close())
    this._lifecycle.add('control server', () => control.close())
    this._lifecycle.add('requests under way', () => runner.drain())
    this._lifecycle.add('tasks under way', () => tasks?.drain())
    this._lifecycle.add('word of leaving', () => node.leave())
    await node.start()
    log.info({ control: this._controlAddress, endpoint: this._settings.endpoint.url }, 'started')
  }

  private _createSlotRunner (endpoint: Endpoint): SlotRunner {
    const { slots, maxConnections } = this._settings.endpoint
    const queue = new FairQueue({ maxWaiting: maxConnections, slots, fleetSlots: slots })
    syncQueuePolicy(this.board, queue)
    this.board.subscribe('fleetSlots', () => queue.setCapacity({ slots, fleetSlots: this.board.get('fleetSlots') }))
    const tracker = new AttemptTracker({ maxEntries: MAX_TRACKED_ATTEMPTS, retentionMs: ATTEMPT_RETENTION_MS })
    const runner = new SlotRunner({ queue, endpoint, tracker })
    this._lifecycle.add('slots', () => runner.close())
    return runner
  }

  private async _createTaskRunner (control: ControlServer): Promise<TaskRunner | undefined> {
    const { worker, peers, logger } = this._dependencies
    if (worker === undefined) return undefined
    return createTaskService({ settings: this._settings, worker, peers, rpc: control.rpc, logger, lifecycle: this._lifecycle })
  }

  private _createNode (control: ControlServer): FleetNode {
    const { store, peers, logger, random } = this._dependencies
    const { id, role, region, failureDomain, join, store: { prefix } } = this._settings
    const describe = (): Member => this._describeMember()
    return new FleetNode({ id, role, region, failureDomain, join, prefix, board: this.board, store, peers, rpc: control.rpc, random, logger, describe })
  }

  private _serveWithdrawals (control: ControlServer, runner: SlotRunner): void {
    control.rpc.add('withdraw', ({ attemptId, incarnation }) => {
      if (incarnation !== this._dependencies.incarnation) return { outcome: 'cannotVouch' }
      return { outcome: runner.withdraw(attemptId) }
    })
  }

  private async _stop (): Promise<void> {
    this.board.set('isLeaving', true)
    const report = await this._lifecycle.close()
    for (const failure of report.failed) this._dependencies.logger.error(failure, 'a component failed to close')
  }

  private _describeMember (): Member {
    const { endpoint, worker } = this._settings
    return {
      id: this._settings.id,
      role: 'agent',
      incarnation: this._dependencies.incarnation,
      region: this._settings.region,
      failureDomain: this._settings.failureDomain,
      address: this._controlAddress,
      state: this.board.get('isLeaving') ? 'leaving' : 'alive',
      revision: this.board.get('configuration')?.revision ?? 0,
      agent: {
        rack: this._settings.rack,
        slots: endpoint.slots,
        maxConnections: endpoint.maxConnections,
        cores: worker?.cores ?? 0,
        memoryGb: worker?.memoryGb ?? 0,
        accelerators: worker?.accelerators ?? 0
      }
    }
  }
}
