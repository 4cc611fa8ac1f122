/**
 * Simulation of gangs, agents' task tables and a store in one thread. A test controls the delivery of messages and the faults;
 * the simulation checks all task tables and throws when an invariant is violated.
 */
import { isOrphanedTask, isRenewable, recordRenewal, advanceGang, restoreGang, TaskStatus, TaskTable } from '@dragonflylever/core'
import type { AgentCommand, Gang, GangCommand, GangEvent, GangRecord, JobSpec, TaskReport, WriteResult } from '@dragonflylever/core'

import { makeSpec } from './plannerFixture.js'

export const TIMES = { leaseMs: 1_000, marginMs: 200, checkpointMs: 3_000 }
export const TICK_MS = 250
/**
 * Maximum time in milliseconds that a task may run while another task of its gang does not: the time allowed for all tasks to start, then
 * the lease of a task.
 */
const MAX_PARTIAL_RUN_MS = 2 * TIMES.leaseMs + TIMES.marginMs + 2 * TICK_MS
const TASKS = 3
const WORKERS = 7
const RUN_TICKS = 10

export type StoreMode = 'ok' | 'unavailable' | 'lostAnswer' | 'lostWrite'

interface SimulatedWorker {
  readonly id: string
  readonly table: TaskTable
  isCrashed: boolean
  /** True while no planner can reach the worker; its tasks continue to run. */
  isPartitioned: boolean
}

interface SimulatedPlanner {
  readonly epoch: number
  readonly gangs: Map<string, Gang>
  isPaused: boolean
}

interface Message { readonly workerId: string, readonly command: AgentCommand, readonly planner: SimulatedPlanner }

export class GangSimulation {
  now = 0
  storeMode: StoreMode = 'ok'
  steps = 0
  readonly ends = new Map<string, string[]>()
  /** Called before each step of the simulation, with the number of the step, so that a test can inject a fault there. */
  onStep: (step: number) => void = () => {}
  private readonly _specs: JobSpec[]
  private readonly _store = new Map<string, { record: GangRecord, revision: number }>()
  private readonly _workers: SimulatedWorker[]
  private readonly _planners: SimulatedPlanner[] = []
  private _messages: Message[] = []
  private readonly _everReady = new Set<string>()
  private readonly _started = new Set<string>()
  private readonly _ticksRun = new Map<string, number>()
  private readonly _partialSince = new Map<string, number>()
  private readonly _failing = new Set<string>()

  constructor (jobs: number) {
    this._specs = Array.from({ length: jobs }, (_, index) => makeSpec(`job${index}`, { tasks: TASKS, shape: { accelerators: 8, cores: 8, memoryGb: 8 } }))
    this._workers = Array.from({ length: WORKERS }, (_, index) => this._makeWorker(index))
    for (const { id } of this._specs) {
      this.ends.set(id, [])
      this._store.set(id, { revision: 1, record: { jobId: id, phase: { kind: 'queued' }, incarnation: 0, placement: [], coveredBy: [], epoch: 0, nonce: 'accepted' } })
    }
    this.startPlanner()
  }

  get messages (): number {
    return this._messages.length
  }

  /** Replaces the planner. The old one is removed, or paused with its state when `isOldPaused` is true. */
  startPlanner (isOldPaused = false): void {
    const old = this._planners.pop()
    if (old !== undefined && isOldPaused) {
      old.isPaused = true
      this._planners.unshift(old)
    }
    const epoch = (old?.epoch ?? 0) + 1
    const planner: SimulatedPlanner = { epoch, gangs: new Map(), isPaused: false }
    for (const spec of this._specs) {
      const stored = this._store.get(spec.id)
      if (stored === undefined) throw new Error('invariant: a job is missing from the store')
      planner.gangs.set(spec.id, restoreGang(spec, stored.record, stored.revision, epoch, TIMES, this.now).gang)
    }
    this._planners.push(planner)
  }

  /** Resumes paused planners, which do not notice that they were paused. */
  resumePlanners (): void {
    for (const planner of this._planners) planner.isPaused = false
  }

  crashWorker (index: number): void {
    const worker = this._workers[index % WORKERS]
    if (worker !== undefined) worker.isCrashed = true
  }

  /** Cuts the connection of a worker to all planners, or restores the connection when it is cut. */
  cutWorker (index: number): void {
    const worker = this._workers[index % WORKERS]
    if (worker !== undefined) worker.isPartitioned = !worker.isPartitioned
  }

  /** Replaces crashed workers with new ones without tasks. */
  restartWorkers (): void {
    this._workers.forEach((worker, index) => { if (worker.isCrashed) this._workers[index] = this._makeWorker(index) })
  }

  failNextTask (index: number): void {
    this._failing.add(`w${index % WORKERS}`)
  }

  dropMessage (index: number): void {
    this._messages.splice(index % Math.max(1, this._messages.length), 1)
  }

  passMessage (index: number, isDuplicate = false): void {
    const at = index % Math.max(1, this._messages.length)
    const message = this._messages[at]
    if (message === undefined) return
    if (!isDuplicate) this._messages.splice(at, 1)
    this._takeStep()
    const worker = this._workers.find(item => item.id === message.workerId && !item.isCrashed && !item.isPartitioned)
    if (worker === undefined) return
    const answer = worker.table.executeCommand(message.command, this.now)
    this._verify()
    if (answer.kind === 'reported') this._send(message.planner, { kind: 'report', report: answer.report }, answer.report.id.jobId)
  }

  cancel (index: number): void {
    const planner = this._planners.at(-1)
    const id = this._specs[index % this._specs.length]?.id
    if (planner !== undefined && id !== undefined) this._send(planner, { kind: 'cancel' }, id)
  }

  /** Advances the time by one tick: tasks run, agents report and renew leases, planners place gangs and retry commands. */
  runTick (): void {
    this.now += TICK_MS
    for (const worker of this._workers) this._runTasks(worker)
    this._verify()
    for (const planner of [...this._planners]) if (!planner.isPaused) this._runPlanner(planner)
  }

  /** Removes all faults and returns the number of jobs that ended within 100 ticks. */
  settle (): number {
    this.storeMode = 'ok'
    this.onStep = () => {}
    this._failing.clear()
    this.restartWorkers()
    for (const worker of this._workers) worker.isPartitioned = false
    this.resumePlanners()
    for (let ticks = 0; ticks < 100 && !this._isOver(); ticks++) {
      this.runTick()
      while (this._messages.length > 0) this.passMessage(0)
    }
    return [...this._store.values()].filter(({ record }) => ['done', 'failed', 'cancelled'].includes(record.phase.kind)).length
  }

  countTasks (): number {
    return this._workers.reduce((sum, worker) => sum + worker.table.listTasks().length, 0)
  }

  private _isOver (): boolean {
    const isEnded = [...this._store.values()].every(({ record }) => ['done', 'failed', 'cancelled'].includes(record.phase.kind))
    return isEnded && this.countTasks() === 0 && this._messages.length === 0
  }

  private _makeWorker (index: number): SimulatedWorker {
    const id = `w${index}@${this.now}`
    return { id, isCrashed: false, isPartitioned: false, table: new TaskTable({ workerId: id, capacity: { accelerators: 8, cores: 32, memoryGb: 128 }, leaseMs: TIMES.leaseMs }) }
  }

  private _runTasks (worker: SimulatedWorker): void {
    worker.table.expireLeases(this.now)
    for (const report of worker.table.listTasks()) {
      if (report.status !== TaskStatus.running) continue
      const key = makeKey(report)
      const ticks = (this._ticksRun.get(key) ?? 0) + 1
      this._ticksRun.set(key, ticks)
      const isFailing = this._failing.delete(worker.id.split('@')[0] ?? '')
      if (ticks >= RUN_TICKS || isFailing) worker.table.finishTask(report.id, isFailing ? 'failed' : 'finished')
    }
  }

  private _runPlanner (planner: SimulatedPlanner): void {
    for (const worker of this._workers) if (!worker.isCrashed && !worker.isPartitioned) this._readInventory(planner, worker)
    for (const [jobId, gang] of planner.gangs) {
      for (const workerId of new Set(gang.placement)) {
        if (!this._workers.some(worker => worker.id === workerId && !worker.isCrashed && !worker.isPartitioned)) this._send(planner, { kind: 'workerLost', workerId }, jobId)
      }
      this._send(planner, { kind: 'tick' }, jobId)
      if (planner.gangs.get(jobId)?.stage === 'queued') this._place(planner, jobId)
    }
  }

  private _readInventory (planner: SimulatedPlanner, worker: SimulatedWorker): void {
    this._takeStep()
    if (worker.isCrashed || worker.isPartitioned || !worker.table.acceptEpoch(planner.epoch)) return
    const reports = worker.table.listTasks()
    for (const report of reports) {
      const gang = planner.gangs.get(report.id.jobId)
      if (isOrphanedTask(gang, report)) {
        this._messages.push({ workerId: worker.id, planner, command: { kind: 'stop', epoch: planner.epoch, id: report.id } })
      } else if (gang !== undefined && isRenewable(gang)) {
        planner.gangs.set(report.id.jobId, recordRenewal(gang, TIMES, this.now))
        worker.table.renewLease(report.id, planner.epoch, this.now, this.now)
      }
      this._send(planner, { kind: 'report', report }, report.id.jobId)
    }
    for (const [jobId, gang] of planner.gangs) {
      if (gang.stage === 'reserving') continue
      gang.placement.forEach((workerId, task) => {
        if (workerId !== worker.id || reports.some(report => report.id.jobId === jobId && report.id.task === task)) return
        this._send(planner, { kind: 'report', report: { workerId, id: { jobId, incarnation: gang.incarnation, task }, status: TaskStatus.gone } }, jobId)
      })
    }
  }

  private _place (planner: SimulatedPlanner, jobId: string): void {
    const free = this._workers.filter(worker => !worker.isCrashed && !worker.isPartitioned && worker.table.listTasks().length === 0)
    if (free.length < TASKS) return
    this._send(planner, { kind: 'place', placement: free.slice(0, TASKS).map(worker => worker.id), coveredBy: [] }, jobId)
  }

  private _send (planner: SimulatedPlanner, event: GangEvent, jobId: string): void {
    const gang = planner.gangs.get(jobId)
    if (gang === undefined || planner.isPaused || !this._planners.includes(planner)) return
    this._takeStep()
    if (!this._planners.includes(planner) || planner.isPaused) return
    const step = advanceGang(gang, event, TIMES, this.now)
    planner.gangs.set(jobId, step.gang)
    for (const command of step.commands) this._execute(planner, jobId, command)
  }

  private _execute (planner: SimulatedPlanner, jobId: string, command: GangCommand): void {
    if (command.kind === 'send') this._messages.push({ workerId: command.workerId, command: command.command, planner })
    if (command.kind === 'write') {
      const result = this._write(command.record, command.expectedRevision)
      this._send(planner, { kind: 'written', nonce: command.record.nonce, result }, jobId)
    }
    const stored = this._store.get(jobId)
    if (command.kind === 'read' && this.storeMode !== 'unavailable' && stored !== undefined) this._send(planner, { kind: 'readBack', ...stored }, jobId)
  }

  private _write (record: GangRecord, expectedRevision: number): WriteResult {
    this._takeStep()
    const mode = this.storeMode
    if (mode === 'unavailable') return { kind: 'unavailable' }
    if (mode === 'lostWrite') return { kind: 'ambiguous' }
    const stored = this._store.get(record.jobId)
    if (stored === undefined || stored.revision !== expectedRevision) return { kind: 'conflict' }
    this._store.set(record.jobId, { record, revision: expectedRevision + 1 })
    if (record.phase.kind !== 'queued' && record.phase.kind !== 'committed') this.ends.get(record.jobId)?.push(record.phase.kind)
    return mode === 'lostAnswer' ? { kind: 'ambiguous' } : { kind: 'ok', revision: expectedRevision + 1 }
  }

  private _takeStep (): void {
    this.onStep(this.steps++)
  }

  private _verify (): void {
    const reports = this._workers.flatMap(worker => worker.isCrashed ? [] : worker.table.listTasks())
    for (const report of reports) if (report.status === TaskStatus.ready || report.status === TaskStatus.running) this._everReady.add(makeKey(report))
    for (const worker of this._workers) this._verifyCapacity(worker)
    const running = reports.filter(report => report.status === TaskStatus.running)
    for (const report of running) this._verifyStart(report)
    for (const { id } of this._specs) this._verifyGang(running.filter(report => report.id.jobId === id), reports)
  }

  /** Checks that a worker has at most one task, since each task takes all accelerators. */
  private _verifyCapacity (worker: SimulatedWorker): void {
    const held = worker.table.listTasks().filter(({ status }) => status === TaskStatus.reserved || status === TaskStatus.ready || status === TaskStatus.running)
    if (held.length > 1) throw new Error(`worker ${worker.id} has ${held.length} tasks, but only one fits`)
  }

  private _verifyStart (report: TaskReport): void {
    const { jobId, incarnation } = report.id
    const startKey = `${makeKey(report)}@${report.workerId}`
    if (this._started.has(startKey)) return
    if ([...this._started].some(key => key.startsWith(`${makeKey(report)}@`))) throw new Error(`task incarnation ${makeKey(report)} started twice`)
    this._started.add(startKey)
    for (let task = 0; task < TASKS; task++) {
      if (!this._everReady.has(`${jobId}/${incarnation}/${task}`)) throw new Error(`${makeKey(report)} runs although task ${task} was never ready`)
    }
  }

  private _verifyGang (running: readonly TaskReport[], reports: readonly TaskReport[]): void {
    const [first] = running
    if (first === undefined) return
    if (running.some(report => report.id.incarnation !== first.id.incarnation)) throw new Error(`two incarnations of ${first.id.jobId} run at the same time`)
    const key = `${first.id.jobId}/${first.id.incarnation}`
    const alive = reports.filter(report => `${report.id.jobId}/${report.id.incarnation}` === key && (report.status === TaskStatus.running || report.status === TaskStatus.finished))
    if (alive.length === TASKS) this._partialSince.delete(key)
    else if (!this._partialSince.has(key)) this._partialSince.set(key, this.now)
    else if (this.now - (this._partialSince.get(key) ?? this.now) > MAX_PARTIAL_RUN_MS) throw new Error(`only some tasks of gang ${key} have been running for more than ${MAX_PARTIAL_RUN_MS} ms`)
  }
}

function makeKey (report: TaskReport): string {
  return `${report.id.jobId}/${report.id.incarnation}/${report.id.task}`
}
