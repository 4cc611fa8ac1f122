/**
 * An agent with its worker in a simulated fleet. Everything except the sockets, the store and the worker is production code.
 */
import { SeededRandom } from '@dragonflylever/core'
import type { PlannerTimes } from '@dragonflylever/core/graphs/index'
import { StoreClient } from '@dragonflylever/adapters'
import type { EvacuationSettings } from '@dragonflylever/daemon/jobPlanner/evacuationWatcher'
import { computeEvacuationTimes } from '@dragonflylever/daemon/jobPlanner/evacuationTimes'
import { FORMER_LEADER_MS, PlannerCandidate } from '@dragonflylever/daemon/jobPlanner/plannerCandidate'
import { GraphKeys } from '@dragonflylever/daemon/jobPlanner/graphKeys'
import { PlannerLink } from '@dragonflylever/daemon/jobAgent/plannerLink'
import { WorkerTable } from '@dragonflylever/daemon/jobAgent/workerTable'
import type { WorkerAnnouncement } from '@dragonflylever/daemon/jobAgent/workerController'
import { NoMetrics, createLogger } from '@dragonflylever/runtime'
import type { Logger } from '@dragonflylever/runtime'
import { MemoryRunWorker, MemoryStore, createRunWorkerFaults } from '@dragonflylever/standins'
import type { MemoryPeers, RunWorkerEngine, RunWorkerFaults, StoreEngine } from '@dragonflylever/standins'

export const PREFIX = 'p'
export const KEYS = new GraphKeys(PREFIX)
export const LEASE_MAX_MS = 6_000

export const TIMES: PlannerTimes = {
  runLeaseMs: LEASE_MAX_MS,
  minClockRate: 0.98,
  runLeaseMarginMs: 500,
  formerLeaderMs: FORMER_LEADER_MS,
  reportTimeoutMs: 2_500,
  startConfirmMs: 1_800,
  stopGraceMs: 400,
  reclaimMs: 2_900,
  remoteFactor: 3,
  checkpointMs: 2_000,
  retentionMs: 240_000
}

/** Creates the store client of one process, with settings like those of production, adapted to the simulation. */
export function createClient (memory: MemoryStore): StoreClient {
  return new StoreClient({ store: memory, random: new SeededRandom(1), ratePerS: 200, burst: 400, callTimeoutMs: 1_100, maxPauseMs: 500 })
}

/** Options of {@link GraphNode}. */
export interface GraphNodeOptions {
  readonly index: number
  readonly incarnation: number
  readonly store: StoreEngine
  readonly peers: MemoryPeers
  readonly worker: RunWorkerEngine
  readonly announce: () => WorkerAnnouncement
  /** Where and how evacuations are requested; absent if they can't be. */
  readonly evacuations?: EvacuationSettings | undefined
  /** Called when the agent sends a start to its worker. */
  readonly onStartSent?: ((task: string) => void) | undefined
  readonly onLine?: (line: string) => void
}

export class GraphNode {
  readonly address: string
  readonly memory: MemoryStore
  readonly workerFaults: RunWorkerFaults = createRunWorkerFaults()
  readonly candidate: PlannerCandidate
  private readonly _options: GraphNodeOptions
  private readonly _link: PlannerLink
  private readonly _table: WorkerTable
  private readonly _heartbeat: NodeJS.Timeout
  private _isUnreachable = false

  constructor (options: GraphNodeOptions) {
    this._options = options
    const { index, incarnation, peers, worker, evacuations } = options
    this.address = `10.0.0.${index}:${incarnation}`
    this.memory = new MemoryStore({ engine: options.store })
    const store = createClient(this.memory)
    const logger = this._createLogger()
    const client = peers.createClient(this.address)
    this.candidate = new PlannerCandidate({
      store,
      prefix: PREFIX,
      keys: KEYS,
      name: `agent-${index}`,
      address: this.address,
      peers: client,
      logger,
      metrics: new NoMetrics(),
      times: TIMES,
      evacuations,
      delayMs: 50 * index,
      getPolicy: () => undefined,
      onSessionChange: () => {},
      onPlannerChange: () => this._link.onPlannerChange()
    })
    this._table = new WorkerTable({
      region: 'r',
      runLeaseMs: LEASE_MAX_MS,
      startValidityMs: evacuations === undefined ? undefined : computeEvacuationTimes(evacuations.boundMs).startValidityMs,
      logger,
      openWorker: () => this._openWorker(),
      onChange: () => this._link.reportChange()
    })
    this._link = new PlannerLink({
      peers: client,
      agent: `agent-${index}`,
      address: this.address,
      start: String(incarnation),
      logger,
      metrics: new NoMetrics(),
      getPlanner: () => this.candidate.planner,
      collectReports: () => this._table.collectReports(),
      applyOrders: (orders, epoch, collected, answeredSince) => this._table.applyOrders(orders, epoch, collected, answeredSince)
    })
    this._heartbeat = setInterval(() => { if (!this.workerFaults.isPartitioned && !worker.isDown) this._table.acceptHeartbeat(options.announce()) }, 500)
    void store.put({ key: KEYS.getNodeKey(`agent-${index}`), value: JSON.stringify({ address: this.address, region: 'r' }), expect: { kind: 'any' } })
    void this.candidate.open(peers.open(this.address))
  }

  get isPlanner (): boolean {
    return this.candidate.session !== undefined
  }

  /** Simulates a frozen process: disconnects the node from the store, its peers and its worker, or reconnects it. */
  setFrozen (isFrozen: boolean): void {
    this.setStoreDown(isFrozen)
    this.setUnreachable(isFrozen)
    this.workerFaults.isPartitioned = isFrozen
  }

  setStoreDown (isDown: boolean): void {
    this.memory.faults.isDown = isDown
  }

  setUnreachable (isUnreachable: boolean): void {
    if (this._isUnreachable === isUnreachable) return
    this._isUnreachable = isUnreachable
    this._options.peers.setPeerDown(this.address, isUnreachable)
  }

  /** Ends the node abruptly. It is disconnected first, so that it can neither release its lease nor notify other processes. */
  kill (): void {
    this.setFrozen(true)
    this._stop()
    void this.candidate.close()
  }

  /** Shuts the node down gracefully: releases planner leadership, then stops the connections to the planner and the worker. */
  async close (): Promise<void> {
    await this.candidate.close()
    this._stop()
  }

  private _openWorker (): MemoryRunWorker {
    const client = new MemoryRunWorker(this._options.worker, this.workerFaults)
    const start = client.start.bind(client)
    client.start = request => {
      this._options.onStartSent?.(request.task)
      return start(request)
    }
    return client
  }

  private _stop (): void {
    clearInterval(this._heartbeat)
    this._link.close()
    this._table.close()
  }

  private _createLogger (): Logger {
    const { onLine, index } = this._options
    if (onLine === undefined) return createLogger({ level: 'silent', processId: 'test' })
    return createLogger({ level: 'debug', processId: `agent-${index}`, destination: { write: line => onLine(line) } })
  }
}
