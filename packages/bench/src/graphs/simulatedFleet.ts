/**
 * Drives the planner of job graphs alone with a simulated fleet under a simulated clock, without sockets or a store, and measures what
 * clients get and what each scheduler pass costs.
 */
import { GraphPlanner, parseTaskName } from '@dragonflylever/core/graphs/index'
import type { PlannerTimes, RunTimeEstimator, SpeedSource, StepSpec, TaskNeeds, WaitingOrder } from '@dragonflylever/core/graphs/index'

import { WALL_START, WORKERS_PER_RACK } from './graphWorkload.js'
import type { GraphArrival, GraphLoad } from './graphWorkload.js'
import { computeWork, scoreJob } from './jobScore.js'
import type { JobScore } from './jobScore.js'
import { CAPACITY, SimulatedWorker, computeWorkedMs, isRunDone } from './simulatedWorker.js'
import type { SimulatedRun } from './simulatedWorker.js'

/** Simulated time between two rounds of reports, pass and orders, in milliseconds. */
const TURN_MS = 20
/** Time after which a worker reports even if nothing has changed, in milliseconds. */
const REPORT_INTERVAL_MS = 700
/** Time after a loss of power until the first worker is back, and from the first to the last, in milliseconds. */
const POWER_LOSS_MS = 500
const RETURN_SPAN_MS = 1_000
/** Spreads the returns of neighbouring workers over {@link RETURN_SPAN_MS}; coprime to the usual sizes of a fleet. */
const RETURN_STRIDE = 37
const CORES_PER_ACCELERATOR = 8
/** Factors of the workers' speeds when a fleet has none of its own: every third worker is slower. */
const USUAL_FACTORS = [1, 1, 1.3] as const
/** Number of times that a client tries to submit a job. */
const MAX_ATTEMPTS = 5

/** Times of the planner in these experiments. */
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

/** Options of {@link runFleet}. */
export interface FleetOptions {
  readonly workers: number
  readonly load: GraphLoad
  /** Capacity of each worker; {@link CAPACITY} when absent. */
  readonly capacity?: TaskNeeds
  /** {@link WORKERS_PER_RACK} when absent. */
  readonly workersPerRack?: number
  /**
   * Factor by which tasks take longer at each worker, by its number. The members of a gang then list the progress of their own worker, and a checkpoint
   * saves the same share of a task wherever it is restored. When absent, the factors are 1, 1 and 1.3 in turn, all members list the progress of the
   * slowest, and a checkpoint saves run time.
   */
  readonly factors?: readonly number[]
  /** What the planner knows of the workers' speeds; what it learns from reports when absent. */
  readonly speeds?: SpeedSource
  /** Simulated duration in seconds; longer than the arrivals, so that late jobs can end. */
  readonly seconds: number
  /** Time that a run holds its slot after it was told to stop, in milliseconds; runs stop at once when absent. */
  readonly stopMs?: number
  /** When all workers lose power, in milliseconds, a multiple of 20; they are back after 0.5 to 1.5 s. */
  readonly powerLossAtMs?: number
  /**
   * Decides on each attempt of a client to submit a job: returns undefined to accept it, and otherwise the delay until the client comes back, in milliseconds. All jobs are
   * accepted when absent.
   */
  readonly admit?: (arrival: GraphArrival, planner: GraphPlanner, now: number) => number | undefined
  /** Creates the order of waiting steps; that of the planner when absent. */
  readonly createOrder?: (runTimes: RunTimeEstimator, getWallTime: () => number) => WaitingOrder
}

/** Result of a simulation. */
export interface FleetResult {
  readonly scores: readonly JobScore[]
  /** Core-seconds of work that was stopped and not saved, by the planner's reason without names of jobs. */
  readonly wastedByReason: Readonly<Record<string, number>>
  readonly stops: number
  /** Mean share of the fleet's accelerators and processors that runs hold while jobs arrive. */
  readonly occupancy: { readonly accelerators: number, readonly processors: number }
  /** Durations of the scheduler passes in microseconds of this machine's processor. */
  readonly passUs: readonly number[]
  /** Durations of applying the reports of one turn, in microseconds. */
  readonly reportUs: readonly number[]
  /** Bytes allocated per pass, as far as no garbage collection hides them. */
  readonly bytesPerPass: number
}

class FleetRun {
  private readonly _options: FleetOptions
  private readonly _capacity: TaskNeeds
  private readonly _workers: readonly SimulatedWorker[]
  private readonly _byTask = new Map<string, { readonly worker: SimulatedWorker, readonly run: SimulatedRun }>()
  private readonly _arrivals = new Map<string, GraphArrival>()
  private readonly _endedAt = new Map<string, number>()
  private readonly _stopReasons = new Map<string, string>()
  private readonly _wasted: Record<string, number> = {}
  private readonly _planner: GraphPlanner
  private readonly _passUs: number[] = []
  private readonly _reportUs: number[] = []
  private readonly _held = { accelerators: 0, cpuMillis: 0, samples: 0 }
  private _bytes = 0
  private _now = 0
  private _stops = 0

  constructor (options: FleetOptions) {
    this._options = options
    this._capacity = options.capacity ?? CAPACITY
    const factors = options.factors ?? USUAL_FACTORS
    const workersPerRack = options.workersPerRack ?? WORKERS_PER_RACK
    this._workers = Array.from({ length: options.workers }, (_, index) => new SimulatedWorker(`w${index}`, `r${Math.floor(index / workersPerRack)}`, this._capacity, factors[index % factors.length] ?? 1))
    const getWallTime = (): number => WALL_START + this._now
    const { createOrder } = options
    const order = createOrder === undefined ? {} : { createOrder: (runTimes: RunTimeEstimator) => createOrder(runTimes, getWallTime) }
    const speeds = options.speeds === undefined ? {} : { speeds: options.speeds }
    this._planner = new GraphPlanner({ times: TIMES, getWallTime, log: { note: (event, fields) => this._onNote(event, fields) }, ...order, ...speeds })
    this._planner.setPolicy(options.load.policy)
  }

  run (): FleetResult {
    let waiting = this._options.load.arrivals.map(arrival => ({ arrival, at: arrival.at, attempt: 1 }))
    for (; this._now < this._options.seconds * 1_000; this._now += TURN_MS) {
      const due = waiting.filter(({ at }) => at <= this._now)
      if (due.length > 0) waiting = waiting.filter(({ at }) => at > this._now)
      for (const { arrival, attempt } of due) {
        const retryMs = this._submitJob(arrival, attempt)
        if (retryMs !== undefined && attempt < MAX_ATTEMPTS) waiting.push({ arrival, at: this._now + retryMs, attempt: attempt + 1 })
      }
      if (this._now === this._options.powerLossAtMs) this._losePower()
      this._finishRuns()
      const hasReports = this._reportWorkers()
      if (hasReports || due.length > 0) this._runPass()
      if (waiting.length > 0) this._sampleOccupancy()
    }
    const scores = this._scoreJobs()
    return { scores, wastedByReason: this._wasted, stops: this._stops, occupancy: this._computeOccupancy(), passUs: this._passUs, reportUs: this._reportUs, bytesPerPass: this._bytes / Math.max(1, this._passUs.length) }
  }

  private _scoreJobs (): JobScore[] {
    const arrivals = this._options.load.arrivals
    const works = new Map<string, number[]>()
    for (const arrival of arrivals) works.set(arrival.graph.queue.name, [...works.get(arrival.graph.queue.name) ?? [], computeWork(arrival)])
    const means = new Map([...works].map(([queue, list]) => [queue, list.reduce((sum, work) => sum + work, 0) / list.length]))
    // Callers count from their first attempt.
    return arrivals.map(arrival => scoreJob(arrival, this._endedAt.get(arrival.graph.id), means.get(arrival.graph.queue.name) ?? 0))
  }

  private _sampleOccupancy (): void {
    this._held.samples++
    for (const { run } of this._byTask.values()) {
      const { accelerators, cpuMillis } = this._getStep(run.task)
      this._held.accelerators += accelerators
      this._held.cpuMillis += cpuMillis
    }
  }

  private _computeOccupancy (): FleetResult['occupancy'] {
    const scale = 1 / Math.max(1, this._held.samples * this._workers.length)
    return { accelerators: this._held.accelerators * scale / this._capacity.accelerators, processors: this._held.cpuMillis * scale / this._capacity.cpuMillis }
  }

  /** Submits a job; returns the delay until its client comes back if it was refused. */
  private _submitJob (arrival: GraphArrival, attempt: number): number | undefined {
    const retryMs = this._options.admit?.(arrival, this._planner, this._now)
    if (retryMs !== undefined) return retryMs
    const graph = attempt === 1 ? arrival.graph : { ...arrival.graph, acceptedAt: WALL_START + this._now }
    this._arrivals.set(graph.id, arrival)
    this._planner.addJob(graph, undefined, this._now)
    return undefined
  }

  private _losePower (): void {
    this._byTask.clear()
    const count = this._workers.length
    for (const [index, worker] of this._workers.entries()) worker.restart(this._now + POWER_LOSS_MS + RETURN_SPAN_MS * (index * RETURN_STRIDE % count) / count)
  }

  private _finishRuns (): void {
    for (const { worker, run } of [...this._byTask.values()]) {
      if (run.stoppingSince !== undefined) {
        if (this._now - run.stoppingSince >= (this._options.stopMs ?? 0)) this._removeRun(worker, run, 'stopped')
        continue
      }
      if (isRunDone(run, this._now)) this._removeRun(worker, run, 'done')
    }
  }

  /** Passes the due reports to the planner. Returns true if there were any. */
  private _reportWorkers (): boolean {
    const due = this._workers.filter(worker => worker.downUntil <= this._now && (worker.hasChanged || this._now - worker.lastReportAt >= REPORT_INTERVAL_MS))
    const startedAt = process.hrtime.bigint()
    for (const worker of due) this._planner.acceptReport(worker.makeReport(this._now), this._now)
    if (due.length > 0) this._reportUs.push(Number(process.hrtime.bigint() - startedAt) / 1_000)
    return due.length > 0
  }

  private _runPass (): void {
    const before = process.memoryUsage().heapUsed
    const startedAt = process.hrtime.bigint()
    this._planner.plan(this._now)
    this._passUs.push(Number(process.hrtime.bigint() - startedAt) / 1_000)
    this._bytes += Math.max(0, process.memoryUsage().heapUsed - before)
    this._planner.recordLeadershipConfirmed(this._now)
    for (const job of this._planner.listChangedJobs()) this._planner.recordJobStored(job.jobId, job.version)
    for (const worker of this._workers) this._executeOrders(worker)
  }

  private _executeOrders (worker: SimulatedWorker): void {
    const orders = this._planner.answerReport({ id: worker.id, born: worker.born }, this._now, true)
    if (orders === undefined) return
    worker.applyAcknowledgement(orders)
    for (const { task, run } of orders.stops) {
      const found = this._byTask.get(task)
      if (found?.run.run === run) this._stopRun(worker, found.run)
    }
    for (const { task, run, checkpoint } of orders.starts) if (this._byTask.get(task)?.run.run !== run) this._startRun(worker, task, run, checkpoint)
  }

  private _stopRun (worker: SimulatedWorker, run: SimulatedRun): void {
    if (run.stoppingSince !== undefined) return
    this._stops++
    run.stoppingSince = this._now
    const isAlone = run.workingSince === undefined
    const lostMs = run.isCheckpointing || isAlone ? 0 : computeWorkedMs(run, this._now)
    const reason = this._stopReasons.get(run.task) ?? ''
    this._wasted[reason] = (this._wasted[reason] ?? 0) + lostMs / 1_000 * computeCores(this._getStep(run.task))
    if (this._options.stopMs === undefined) this._removeRun(worker, run, 'stopped')
  }

  private _removeRun (worker: SimulatedWorker, run: SimulatedRun, how: 'done' | 'stopped'): void {
    this._byTask.delete(run.task)
    worker.end(run, how, this._now)
  }

  private _startRun (worker: SimulatedWorker, task: string, run: number, checkpoint: string): void {
    const step = this._getStep(task)
    const started: SimulatedRun = { task, run, savedMs: Number(checkpoint), startedAt: this._now, workingSince: undefined, workMs: 0, endMs: 0, slowdown: 1, isCheckpointing: step.isCheckpointing }
    this._byTask.set(task, { worker, run: started })
    worker.start(started)
    const members = step.isGang ? this._listMembers(task, step) : [{ worker, run: started }]
    if (members === undefined) return
    const racks = new Set(members.map(member => member.worker.rack))
    const slowdowns = members.map(member => this._computeSlowdown(member.run.task, member.worker, racks.size))
    const usualMs = this._getRunMs(task)
    // The members of a gang end together with the slowest of them.
    const slowest = Math.max(...slowdowns)
    const isMeasured = this._options.factors !== undefined
    for (const [index, { run: member }] of members.entries()) {
      member.workingSince = this._now
      member.workMs = usualMs * (isMeasured ? slowdowns[index] ?? slowest : slowest)
      member.endMs = usualMs * slowest
      member.slowdown = isMeasured ? slowest : 1
    }
  }

  /** Returns the runs of all members of a gang, or undefined while some are missing. */
  private _listMembers (task: string, step: StepSpec): Array<{ readonly worker: SimulatedWorker, readonly run: SimulatedRun }> | undefined {
    const prefix = task.slice(0, task.lastIndexOf('.') + 1)
    const members = Array.from({ length: step.count }, (_, index) => this._byTask.get(`${prefix}${index}`)).filter(member => member !== undefined)
    return members.length === step.count ? members : undefined
  }

  /** Returns how many times as long a task takes at a worker as at one of middle speed near its data. */
  private _computeSlowdown (task: string, worker: SimulatedWorker, racks: number): number {
    const step = this._getStep(task)
    const isRemote = (step.isSameRack && racks > 1) || (step.dataRack !== undefined && step.dataRack !== worker.rack)
    return (isRemote ? TIMES.remoteFactor : 1) * worker.factor
  }

  /** Returns the run time of a task at a worker of middle speed near its data, in milliseconds. */
  private _getRunMs (task: string): number {
    const name = parseTaskName(task)
    return this._arrivals.get(name?.jobId ?? '')?.runMs[name?.step ?? 0] ?? 0
  }

  private _getStep (task: string): StepSpec {
    const name = parseTaskName(task)
    const step = this._arrivals.get(name?.jobId ?? '')?.graph.steps[name?.step ?? 0]
    if (step === undefined) throw new Error(`invariant: the planner started ${task}, which no job has`)
    return step
  }

  private _onNote (event: string, fields: Readonly<Record<string, unknown>>): void {
    if (event === 'run stopping') this._stopReasons.set(String(fields['task']), String(fields['reason']).replace(/ for .*/, ''))
    if (event === 'job ended' && fields['phase'] === 'completed') this._endedAt.set(String(fields['job']), this._now)
  }
}

function computeCores (step: StepSpec): number {
  return step.cpuMillis / 1_000 + step.accelerators * CORES_PER_ACCELERATOR
}

/** Runs a load on a simulated fleet. */
export function runFleet (options: FleetOptions): FleetResult {
  return new FleetRun(options).run()
}
