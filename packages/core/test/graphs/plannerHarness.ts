/**
 * A planner with fake workers that execute its orders at once, for tests of single decisions.
 */
import { GraphPlanner, StartRefusal, joinRecords } from '@dragonflylever/core/graphs/index'
import type { CrashListing, EndListing, GraphPlannerOptions, HeadRecord, JobGraph, OrderListing, PartRecord, PlannerTimes, ProgressRecord, QueuePolicy, RunEnd, RunListing, StepSpec, TaskNeeds, WorkerOrders, WorkerReport } from '@dragonflylever/core/graphs/index'

export const TIMES: PlannerTimes = {
  runLeaseMs: 6_000,
  minClockRate: 0.98,
  runLeaseMarginMs: 500,
  formerLeaderMs: 2_000,
  reportTimeoutMs: 2_500,
  startConfirmMs: 1_800,
  stopGraceMs: 400,
  reclaimMs: 2_900,
  remoteFactor: 3,
  checkpointMs: 2_000,
  retentionMs: 240_000
}

export const CAPACITY = { cpuMillis: 128_000, memoryMb: 524_288, accelerators: 8 }
const WALL_START = 1_700_000_000_000

/** A fake worker with the state that its agent reports. */
export interface FakeWorker {
  readonly id: string
  readonly rack: string
  failureDomain: string
  /** How much longer the worker is slow after its start, in milliseconds; undefined if it isn't. */
  coldLeftMs: number | undefined
  born: number
  address: string
  running: RunListing[]
  ended: EndListing[]
  orders: OrderListing[]
  lastEndNumber: number
  isDraining: boolean
  drainLeftMs: number | undefined
  capacity: TaskNeeds
  listNumber: number
  /** Crashes of earlier incarnations at the worker's address. */
  crashes: CrashListing[]
  /** True when the worker refuses starts as an unhealthy worker does. */
  refusesStarts: boolean
  /** True when the worker takes stops and does not carry them out. */
  ignoresStops?: boolean
  /** Version of the worker's software. */
  version?: string
  /** Service that the worker belongs to; that of the queues of {@link makeQueue} if absent. */
  service?: string
}

/** Makes a queue of priority 1 with defaults for everything that isn't overridden. */
export function makeQueue (overrides: Partial<QueuePolicy> = {}): QueuePolicy {
  return { name: 'q', service: 's', priority: 1, maxAttempts: 3, stretch: 3, targetLatencyMs: 1_000, ...overrides }
}

/** Makes a step of a single task with defaults for everything that isn't overridden. */
export function makeStep (overrides: Partial<StepSpec> = {}): StepSpec {
  return {
    count: 1,
    cpuMillis: 1_000,
    memoryMb: 1_000,
    accelerators: 1,
    estimatedMs: 5_000,
    after: [],
    isCheckpointing: false,
    isGang: false,
    isSameRack: false,
    isSpeculative: false,
    isLongRunning: false,
    isFilling: false,
    mayMiss: 0,
    ...overrides
  }
}

export class PlannerHarness {
  now = 1_000
  planner: GraphPlanner
  readonly notes: Array<{ readonly event: string, readonly fields: Readonly<Record<string, unknown>> }> = []
  readonly workers: FakeWorker[]
  readonly records = new Map<string, string>()
  private readonly _graphs = new Map<string, JobGraph>()
  private readonly _overrides: Partial<GraphPlannerOptions>

  /** `racks` holds the number of workers in each rack. */
  constructor (racks: readonly number[], overrides: Partial<GraphPlannerOptions> = {}) {
    this._overrides = overrides
    this.planner = this._createPlanner()
    this.workers = racks.flatMap((count, rack) => Array.from({ length: count }, (_, index) => makeWorker(`w${rack}${index}`, `r${rack}`)))
  }

  get wallTime (): number {
    return WALL_START + this.now
  }

  /** Adds a job to the planner. */
  addJob (id: string, steps: readonly StepSpec[], overrides: Partial<JobGraph> = {}): void {
    const graph = { id, organisation: 'o', queue: makeQueue(), payload: '', steps, acceptedAt: this.wallTime, ...overrides }
    this._graphs.set(id, graph)
    this.planner.addJob(graph, undefined, this.now)
  }

  /** Advances the time in turns of `stepMs`, see {@link runTurn}. */
  run (ms: number, stepMs = 100): void {
    for (const end = this.now + ms; this.now < end; this.now += stepMs) this.runTurn()
  }

  /** Runs one turn: all workers report, the planner plans, its changes are stored, and the workers execute its orders. */
  runTurn (): void {
    for (const worker of this.workers) this.planner.acceptReport(this.report(worker), this.now)
    this.planner.plan(this.now)
    this.store()
    for (const worker of this.workers) {
      const orders = this.planner.answerReport({ id: worker.id, born: worker.born }, this.now, true)
      if (orders !== undefined) this._execute(worker, orders)
    }
  }

  /** Stores the changed jobs, which confirms the planner's leadership. */
  store (): void {
    this.planner.recordLeadershipConfirmed(this.now)
    for (const job of this.planner.listChangedJobs()) {
      for (const part of job.parts) this.records.set(getRecordName(job.jobId, part), this.planner.encodePart(job.jobId, part) ?? '')
      for (const part of job.droppedParts) this.records.delete(getRecordName(job.jobId, part))
      this.planner.recordJobStored(job.jobId, job.version, job.parts, job.droppedParts)
    }
  }

  /** Ends the run of a task at the worker that executes it; the worker reports the end in the next turn. */
  endRun (task: string, how: RunEnd, checkpoint = ''): void {
    for (const worker of this.workers) {
      const run = worker.running.find(candidate => candidate.task === task)
      if (run === undefined) continue
      worker.running = worker.running.filter(candidate => candidate !== run)
      worker.ended.push({ number: ++worker.lastEndNumber, task, run: run.run, how, checkpoint })
      return
    }
    throw new Error(`no worker runs ${task}`)
  }

  /** Returns the worker that runs a task. */
  findWorker (task: string): FakeWorker | undefined {
    return this.workers.find(worker => worker.running.some(run => run.task === task))
  }

  /** Sets the progress that the worker lists for a task. */
  setPercent (task: string, percent: number): void {
    for (const worker of this.workers) worker.running = worker.running.map(run => run.task === task ? { ...run, percent } : run)
  }

  /** Sets the milliseconds per percent that the agents measured for a task. */
  setSpeed (task: string, msPerPercent: number): void {
    for (const worker of this.workers) worker.running = worker.running.map(run => run.task === task ? { ...run, msPerPercent } : run)
  }

  /** Restarts a worker under another id at the same address. */
  restartWorker (worker: FakeWorker, id: string): FakeWorker {
    const successor = { ...makeWorker(id, worker.rack), address: worker.address, born: worker.born + 1 }
    this.workers.splice(this.workers.indexOf(worker), 1, successor)
    return successor
  }

  /** Restarts a worker after a crash; its agent suspects all its runs. */
  crashWorker (worker: FakeWorker): void {
    const suspects = worker.running.map(({ task, run }) => ({ task, run }))
    this.restartWorker(worker, `${worker.id}x`).crashes.push(...worker.crashes, { suspects })
  }

  /** Replaces the planner by a new one that restores the jobs from the stored records. */
  replacePlanner (): void {
    this.planner = this._createPlanner()
    for (const graph of this._graphs.values()) {
      this.planner.addJob(graph, this._readProgress(graph), this.now)
    }
  }

  listNotes (event: string): Array<Readonly<Record<string, unknown>>> {
    return this.notes.filter(note => note.event === event).map(note => note.fields)
  }

  report (worker: FakeWorker): WorkerReport {
    const { id, born, address, rack, capacity, running, ended, orders, isDraining, drainLeftMs, version } = worker
    return {
      key: { id, born },
      address,
      service: worker.service ?? 's',
      rack,
      labels: ['a', rack, id],
      ...(version === undefined ? {} : { version }),
      failureDomain: worker.failureDomain,
      region: 'r',
      capacity,
      isDraining,
      drainLeftMs,
      coldLeftMs: worker.coldLeftMs,
      isOver: false,
      isReachable: true,
      leaseLeftMs: 0,
      listNumber: ++worker.listNumber,
      running,
      ended,
      orders,
      crashes: worker.crashes
    }
  }

  private _readProgress (graph: JobGraph): ProgressRecord | undefined {
    const head = this.records.get(graph.id)
    if (head === undefined) return undefined
    const record = JSON.parse(head) as ProgressRecord | HeadRecord
    if (!('partTasks' in record)) return record
    const parts = [...this.records].filter(([name]) => name.startsWith(`${graph.id}/`)).map(([, text]) => JSON.parse(text) as PartRecord)
    return joinRecords(graph, record, parts)
  }

  private _createPlanner (): GraphPlanner {
    return new GraphPlanner({ times: TIMES, log: { note: (event, fields) => { this.notes.push({ event, fields }) } }, getWallTime: () => this.wallTime, ...this._overrides })
  }

  private _execute (worker: FakeWorker, orders: WorkerOrders): void {
    worker.ended = worker.ended.filter(end => end.number > orders.seen)
    for (const { task, run, checkpoint } of orders.starts) {
      if (worker.refusesStarts) worker.orders.push({ task, run, status: 'refused', reason: StartRefusal.unhealthy })
      else worker.running.push({ task, run, checkpoint, percent: 0, usage: 0 })
    }
    for (const { task, run } of orders.stops) {
      if (worker.ignoresStops === true) continue
      if (worker.running.some(candidate => candidate.task === task && candidate.run === run)) this.endRun(task, 'stopped')
      else worker.orders.push({ task, run, status: 'barred', reason: '' })
    }
  }
}

/** Returns the name of the record of a part of a job's progress. */
function getRecordName (jobId: string, part: string): string {
  return part === '' ? jobId : `${jobId}/${part}`
}

function makeWorker (id: string, rack: string): FakeWorker {
  return { id, rack, failureDomain: 'd', coldLeftMs: undefined, born: 1, address: `${id}:1`, running: [], ended: [], orders: [], lastEndNumber: 0, isDraining: false, drainLeftMs: undefined, capacity: CAPACITY, listNumber: 0, refusesStarts: false, crashes: [] }
}
