/**
 * One agent's part of a gang: its tasks at the worker and the lease under which they run.
 */
import { TaskState } from '@dragonflylever/platform'
import type { TaskReport, Worker } from '@dragonflylever/platform'
import type { GangPartReport, GangTask } from '@dragonflylever/protocol'

/** Where a part stands. A part in `ended` is kept until the planner has heard of the end. */
export type PartPhase = 'reserved' | 'running' | 'ended'

const STOP_POLL_MS = 100
const HOLDING_STATES = new Set<TaskState>([TaskState.prepared, TaskState.running])

/** What a planner orders. */
export interface PartOrder {
  readonly jobId: string
  readonly incarnation: number
  readonly tasks: readonly GangTask[]
  /** Control addresses of all agents of the gang; the first leads. */
  readonly members: readonly string[]
  readonly leaseMs: number
}

export class GangPart {
  readonly order: PartOrder
  private readonly _worker: Worker
  private _phase: PartPhase = 'reserved'
  private _endedAt = Infinity
  private _leaseEndsAt: number

  constructor (order: PartOrder, worker: Worker, reservedUntil: number) {
    this.order = order
    this._worker = worker
    this._leaseEndsAt = reservedUntil
  }

  get phase (): PartPhase {
    return this._phase
  }

  /** True while the part may hold resources or run. */
  get isLive (): boolean {
    return this._phase !== 'ended'
  }

  /** Holds resources for all tasks; on a refusal nothing stays held. Returns the refusal's message. */
  async reserve (): Promise<string | undefined> {
    const { jobId, incarnation, leaseMs, tasks } = this.order
    for (const task of tasks) {
      const outcome = await this._worker.prepare({ ...task, jobId, incarnation, leaseMs })
      if (outcome.kind === 'ok') continue
      await this.stop()
      return outcome.message
    }
    return undefined
  }

  /** Starts all tasks; on a failure all are stopped. Returns the failure's message. */
  async start (now: number): Promise<string | undefined> {
    if (this._phase === 'running') return undefined
    if (!this.isLive || this._leaseEndsAt <= now) return 'the reservation has lapsed'
    this._phase = 'running'
    this._leaseEndsAt = now + this.order.leaseMs
    for (const task of this.order.tasks) {
      const outcome = await this._worker.start(task.taskId)
      if (outcome.kind === 'ok') continue
      await this.stop()
      return outcome.message
    }
    return undefined
  }

  /** Prolongs the gang's lease. */
  renew (now: number): void {
    if (this._phase === 'running' && this._leaseEndsAt > now) this._leaseEndsAt = now + this.order.leaseMs
  }

  /** True when the lease, or the reservation, has run out. */
  hasLapsed (now: number): boolean {
    return this.isLive && this._leaseEndsAt <= now
  }

  /** Renews the workers' leases while the gang's own lease runs. */
  async touch (now: number): Promise<void> {
    if (!this.isLive || this._leaseEndsAt <= now) return
    await Promise.all(this.order.tasks.map(task => this._worker.renew(task.taskId)))
  }

  /** Slows the tasks down or lets them run at full speed. */
  async throttle (share: number): Promise<void> {
    await Promise.all(this.order.tasks.map(task => this._worker.throttle(task.taskId, share)))
  }

  /** Writes a checkpoint of each task; returns those that were written, by task id. */
  async checkpoint (): Promise<Record<string, string>> {
    const checkpoints: Record<string, string> = {}
    await Promise.all(this.order.tasks.map(async task => {
      const outcome = await this._worker.checkpoint(task.taskId)
      if (outcome.kind === 'ok') checkpoints[task.taskId] = outcome.checkpoint
    }))
    return checkpoints
  }

  /** When the part ended; infinite while it is live. */
  get endedAt (): number {
    return this._endedAt
  }

  /** Stops all tasks and waits until none runs; one that ignores the stop is not renewed and ends with its lease. */
  async stop (): Promise<void> {
    this._phase = 'ended'
    this._endedAt = performance.now()
    await Promise.all(this.order.tasks.map(task => this._worker.stop(task.taskId)))
    const limit = performance.now() + this.order.leaseMs
    while (await this._isHolding() && performance.now() < limit) await new Promise(resolve => setTimeout(resolve, STOP_POLL_MS))
  }

  private async _isHolding (): Promise<boolean> {
    const outcome = await this._worker.list()
    if (outcome.kind !== 'ok') return this.order.tasks.length > 0
    const own = new Set(this.order.tasks.map(task => task.taskId))
    return outcome.tasks.some(task => own.has(task.taskId) && HOLDING_STATES.has(task.state))
  }

  /** Describes the part's tasks from what the worker reports; `undefined` when the worker gave no answer. */
  describe (reports: readonly TaskReport[] | undefined): GangPartReport {
    const byId = new Map((reports ?? []).map(report => [report.taskId, report]))
    const tasks = this.order.tasks.map(({ taskId }) => {
      const report = byId.get(taskId)
      const state = report?.state ?? (reports === undefined ? TaskState.running : TaskState.expired)
      return { taskId, state, checkpoint: report?.checkpoint ?? '', message: report?.message ?? '' }
    })
    return { jobId: this.order.jobId, incarnation: this.order.incarnation, tasks }
  }
}

/** Returns the key of a part. */
export function getPartKey (jobId: string, incarnation: number): string {
  return `${jobId}/${incarnation}`
}
