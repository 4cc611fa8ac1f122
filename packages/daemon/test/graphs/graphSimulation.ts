/**
 * A small simulated fleet on a fake clock: agents with workers, one store, one entry, and faults that tests start and end. The planner,
 * the leader election, the agents' worker controllers and the store client are production code.
 */
import { SeededRandom } from '@dragonflylever/core'
import { JobPhase, PolicyIndex } from '@dragonflylever/core/graphs/index'
import type { RoutedQueue, StepSpec } from '@dragonflylever/core/graphs/index'
import { JobEntryHandler } from '@dragonflylever/daemon/jobEntry/jobEntryHandler'
import type { JobEntryAnswer, JobEntryCall } from '@dragonflylever/daemon/jobEntry/jobEntryHandler'
import { JobStates } from '@dragonflylever/daemon/jobEntry/jobStates'
import type { EvacuationSettings } from '@dragonflylever/daemon/jobPlanner/evacuationWatcher'
import type { WorkerAnnouncement } from '@dragonflylever/daemon/jobAgent/workerController'
import { NoMetrics, createLogger, createPartLogger } from '@dragonflylever/runtime'
import type { Logger } from '@dragonflylever/runtime'
import { GangBarrier, GraphInvariantChecker, MemoryPeers, MemoryStore, RunWorkerEngine, StoreEngine } from '@dragonflylever/standins'
import type { RunBehaviour } from '@dragonflylever/standins'

import { GraphNode, KEYS, LEASE_MAX_MS, createClient } from './graphNode.js'

export const CAPACITY = { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 8 } as const
const WORKERS_PER_RACK = 2
const CALL_MS = 3_000
const MAX_ATTEMPTS = 3
/** A job may fail once this number of workers have crashed under one of its tasks. */
const MIN_CRASHES_TO_FAIL = 2
const LEASE_EXPIRY_CHECK_MS = 100
/** Number of ends that a worker lists at a time; small, so that lists are often cut off. */
const MAX_LISTED_ENDS = 3
const SILENT_LOGGER = createLogger({ level: 'silent', processId: 'test' })

/** A job of the simulation, and how the runs of its tasks behave. */
export interface SimulatedJob {
  readonly id: string
  readonly priority: number
  readonly steps: readonly StepSpec[]
  readonly durationMs: number
  /** Number of runs that fail before the first run succeeds, counted for each task, or over all tasks of a gang. */
  readonly failures: number
  /** Names of the tasks, without the id of the job, that crash the workers that start them. */
  readonly crashingTasks?: readonly string[]
}

/** Creates a step with the given values and simple defaults for the others. */
export function makeStep (given: Partial<StepSpec> = {}): StepSpec {
  return {
    count: 1,
    cpuMillis: 1_000,
    memoryMb: 1_000,
    accelerators: 1,
    estimatedMs: 2_000,
    after: [],
    isCheckpointing: false,
    isGang: false,
    isSameRack: false,
    isSpeculative: false,
    isLongRunning: false,
    isFilling: false,
    mayMiss: 0,
    ...given
  }
}

/** Creates a queue that accepts jobs of this priority. */
export function makeQueue (priority: number): RoutedQueue {
  return { name: `q${priority}`, service: 's', priority, maxAttempts: MAX_ATTEMPTS, stretch: 3, targetLatencyMs: 1_000, host: 'h', prefix: `/q${priority}/`, isOpen: false }
}

/** Options of {@link GraphSimulation}. */
export interface SimulationOptions {
  readonly isRecordingLog?: boolean
  /** Where and how evacuations are requested; absent if they can't be. */
  readonly evacuations?: EvacuationSettings
  /** Called when an agent sends a start to its worker. */
  readonly onStartSent?: (failureDomain: string, task: string) => void
}

/** Returns the failure domain of a worker: each rack is one. */
function getFailureDomain (index: number): string {
  return `d${Math.floor(index / WORKERS_PER_RACK)}`
}

interface NodeSlot {
  readonly engine: RunWorkerEngine
  node: GraphNode
  incarnation: number
  heartbeats: number
}

export class GraphSimulation {
  readonly checker = new GraphInvariantChecker()
  readonly store = new StoreEngine()
  readonly lines: string[] = []
  readonly accepted = new Set<string>()
  readonly cancelled = new Set<string>()
  readonly states: JobStates
  readonly entryMemory: MemoryStore
  private readonly _peers = new MemoryPeers()
  private readonly _barrier = new GangBarrier()
  private readonly _jobs = new Map<string, SimulatedJob>()
  private readonly _entryHandler: JobEntryHandler
  private readonly _slots: NodeSlot[]
  private readonly _options: SimulationOptions
  private readonly _leaseExpiryTimer: NodeJS.Timeout

  constructor (workers: number, options: SimulationOptions = {}) {
    this._options = options
    this._slots = Array.from({ length: workers }, (_, index) => this._makeSlot(index))
    this.entryMemory = new MemoryStore({ engine: this.store })
    const client = createClient(this.entryMemory)
    const logger = options.isRecordingLog === true ? this._createLogger('entry') : SILENT_LOGGER
    this.states = new JobStates({ store: client, keys: KEYS, logger: createPartLogger(logger, 'states') })
    const index = new PolicyIndex({
      version: 1,
      queues: [0, 1, 2].map(makeQueue),
      organisations: [{ name: 'o', keys: ['k'], guaranteedAccelerators: 8 }],
      limits: { maxBodyBytes: 1_000_000, maxHeaderBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 }
    })
    this._entryHandler = new JobEntryHandler({ store: client, keys: KEYS, states: this.states, logger: createPartLogger(logger, 'front'), metrics: new NoMetrics(), random: new SeededRandom(1), getPolicy: () => index })
    void this.states.open()
    this._leaseExpiryTimer = setInterval(() => this.store.expireLeases(), LEASE_EXPIRY_CHECK_MS)
  }

  get size (): number {
    return this._slots.length
  }

  /** Submits a job through the entry, and records whether it was accepted or refused. */
  async submit (job: SimulatedJob): Promise<JobEntryAnswer> {
    this._jobs.set(job.id, job)
    this.checker.addJob(job.id, job.steps)
    const answer = await this._entryHandler.submit(this._makeCall(job), { payload: 'p', steps: job.steps, repeat: undefined })
    if (answer.kind === 'accepted') this.accepted.add(job.id)
    if (answer.kind === 'refused') this.checker.recordRefused(job.id)
    return answer
  }

  /** Requests the cancellation of a job through the entry. */
  async cancel (jobId: string): Promise<void> {
    const job = this._jobs.get(jobId)
    if (job === undefined) return
    const answer = await this._entryHandler.cancel(this._makeCall(job))
    if (answer.kind !== 'refused' && answer.kind !== 'noSuchJob') this.cancelled.add(jobId)
  }

  getNode (index: number): GraphNode {
    return this._getSlot(index).node
  }

  /** Returns the index of the node that is the planner; 0 if no node is. */
  findPlanner (): number {
    return Math.max(0, this._slots.findIndex(slot => slot.node.isPlanner))
  }

  /** Kills the process of a node; a new one starts in its place after `afterMs` milliseconds. */
  restartNode (index: number, afterMs: number): void {
    const slot = this._getSlot(index)
    slot.node.kill()
    setTimeout(() => this._replaceNode(index, slot), afterMs)
  }

  /** Shuts the process of a node down gracefully; a new one starts in its place after `afterMs` milliseconds. */
  async stopNode (index: number, afterMs: number): Promise<void> {
    const slot = this._getSlot(index)
    await slot.node.close()
    setTimeout(() => this._replaceNode(index, slot), afterMs)
  }

  getWorker (index: number): RunWorkerEngine {
    return this._getSlot(index).engine
  }

  /** Crashes a worker, which stays down for `downMs` milliseconds. */
  crashWorker (index: number, downMs = 0): void {
    const slot = this._getSlot(index)
    slot.heartbeats = 0
    slot.engine.crash(downMs)
  }

  setStoreDown (isDown: boolean): void {
    for (const { node } of this._slots) node.setStoreDown(isDown)
    this.entryMemory.faults.isDown = isDown
  }

  /** Disconnects some nodes from the store and all other nodes, or reconnects them; they stay connected to one another. */
  setPartition (indices: readonly number[], isPartitioned: boolean): void {
    const partition = indices.map(index => this._getSlot(index))
    for (const { node } of partition) {
      node.setStoreDown(isPartitioned)
      for (const other of this._slots) if (!partition.includes(other)) this._peers.setLinkDown(node.address, other.node.address, isPartitioned)
    }
  }

  /** Lists all violations of invariants. Called at the end, long enough after the last fault for every job to have ended. */
  listViolations (): string[] {
    const faults = [...this.checker.violations]
    for (const jobId of this.accepted) {
      const job = this._jobs.get(jobId) as SimulatedJob
      const phase = this.states.get(jobId)?.phase
      const tasks = job.steps.flatMap((step, index) => Array.from({ length: step.count }, (_, number) => `${jobId}.0.${index}.${number}`))
      const isDone = tasks.every(task => this.checker.done.has(task))
      if (phase === JobPhase.completed && !isDone) faults.push(`${jobId} is shown as completed, but not all of its tasks have succeeded`)
      if (phase === JobPhase.failed && !this._hasExhaustedAttempts(job) && !this._hasCrashedWorkers(job)) faults.push(`${jobId} is shown as failed without enough failed runs or crashed workers`)
      if (phase === JobPhase.cancelled && !this.cancelled.has(jobId)) faults.push(`${jobId} is shown as cancelled although this was not requested`)
      if (phase === undefined || phase === JobPhase.queued || phase === JobPhase.running) faults.push(`${jobId} was accepted but has not ended; its phase is ${phase}`)
      if (this.checker.countRunning(jobId) > 0) faults.push(`${jobId} still has runs in progress`)
    }
    return faults
  }

  close (): void {
    clearInterval(this._leaseExpiryTimer)
    for (const { node } of this._slots) node.kill()
    this.states.close()
  }

  /** Returns true if the failed runs of a task, or of all tasks of a gang together, have reached the maximum number of attempts. */
  private _hasExhaustedAttempts (job: SimulatedJob): boolean {
    return job.steps.some((step, index) => {
      const failed = Array.from({ length: step.count }, (_, number) => this.checker.failures.get(`${job.id}.0.${index}.${number}`) ?? 0)
      const sum = failed.reduce((total, one) => total + one, 0)
      return step.isGang ? sum >= MAX_ATTEMPTS : Math.max(...failed) >= MAX_ATTEMPTS
    })
  }

  /** Returns true if at least two workers have crashed under a task of the job. */
  private _hasCrashedWorkers (job: SimulatedJob): boolean {
    return [...this.checker.crashCompany.keys()].some(task => task.startsWith(`${job.id}.`) && this.checker.countCrashes(task) >= MIN_CRASHES_TO_FAIL)
  }

  private _makeCall (job: SimulatedJob): JobEntryCall {
    return { host: 'h', path: `/q${job.priority}/${job.id}`, key: 'k', deadlineAt: performance.now() + CALL_MS }
  }

  private _createLogger (processId: string): Logger {
    return createLogger({ level: 'info', processId, destination: { write: line => this._recordLine(line) } })
  }

  private _recordLine (line: string): void {
    this.lines.push(`${Math.round(performance.now())} ${line.trim()}`)
  }

  private _makeSlot (index: number): NodeSlot {
    const engine = new RunWorkerEngine({
      id: `w${index}`,
      capacity: CAPACITY,
      barrier: this._barrier,
      observer: this.checker,
      getBehaviour: task => this._getBehaviour(task),
      leaseMaxMs: LEASE_MAX_MS,
      stopGraceMs: 400,
      gangTimeoutMs: 3_000,
      checkpointMs: 2_000,
      maxListedEnds: MAX_LISTED_ENDS,
      clockRate: index % 2 === 0 ? 1 : 0.98
    })
    const slot: NodeSlot = { engine, node: undefined as never, incarnation: 1, heartbeats: 0 }
    slot.node = this._makeNode(index, slot)
    return slot
  }

  private _makeNode (index: number, slot: NodeSlot): GraphNode {
    return new GraphNode({
      index,
      incarnation: slot.incarnation,
      store: this.store,
      peers: this._peers,
      worker: slot.engine,
      announce: () => this._announce(index, slot),
      evacuations: this._options.evacuations,
      onStartSent: task => this._options.onStartSent?.(getFailureDomain(index), task),
      ...(this._options.isRecordingLog === true ? { onLine: (line: string) => this._recordLine(line) } : {})
    })
  }

  /** Starts a new process at a node. A node has one process at a time, also when several faults restart it. */
  private _replaceNode (index: number, slot: NodeSlot): void {
    slot.node.kill()
    slot.incarnation++
    slot.node = this._makeNode(index % this._slots.length, slot)
  }

  private _announce (index: number, slot: NodeSlot): WorkerAnnouncement {
    return {
      id: `w${index}`,
      born: slot.engine.born,
      address: `10.1.0.${index}:1`,
      service: 's',
      rack: `r${Math.floor(index / WORKERS_PER_RACK)}`,
      labels: ['a', `r${Math.floor(index / WORKERS_PER_RACK)}`],
      failureDomain: getFailureDomain(index),
      capacity: CAPACITY,
      isDraining: false,
      drainLeftMs: undefined,
      clockMs: slot.engine.clockMs,
      sequence: ++slot.heartbeats
    }
  }

  private _getBehaviour (task: string): RunBehaviour | undefined {
    const [jobId, ...path] = task.split('.')
    const step = path[1]
    const job = this._jobs.get(jobId ?? '')
    const spec = job?.steps[Number(step)]
    if (job === undefined || spec === undefined) return undefined
    const members = spec.isGang ? Array.from({ length: spec.count }, (_, index) => `${jobId}.0.${step}.${index}`) : [task]
    const failed = members.reduce((sum, member) => sum + (this.checker.failures.get(member) ?? 0), 0)
    return { durationMs: job.durationMs, isFailing: failed < job.failures, isCrashing: job.crashingTasks?.includes(path.join('.')) ?? false, gangSize: spec.isGang ? spec.count : undefined, isCheckpointing: spec.isCheckpointing, needs: spec }
  }

  private _getSlot (index: number): NodeSlot {
    return this._slots[index % this._slots.length] as NodeSlot
  }
}
