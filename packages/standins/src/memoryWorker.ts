/**
 * In-process worker stand-in: implements the `Worker` interface directly on an engine and injects faults.
 */
import type { TaskOrder, TaskReport, TaskShape, Worker, WorkerOutcome } from '@dragonflylever/adapters'

import { WORKER_CAPACITY } from './sampleFleet.js'
import { WorkerEngine } from './workerEngine.js'

export class MemoryWorker implements Worker {
  readonly engine: WorkerEngine
  /** While true, every order is lost before the worker executes it. */
  isDown = false

  constructor (capacity: TaskShape = WORKER_CAPACITY) {
    this.engine = new WorkerEngine(capacity)
  }

  prepare (order: TaskOrder): Promise<WorkerOutcome> {
    return this._performOrder(() => this.engine.prepare(order))
  }

  start (taskId: string): Promise<WorkerOutcome> {
    return this._performOrder(() => this.engine.start(taskId))
  }

  renew (taskId: string): Promise<WorkerOutcome> {
    return this._performOrder(() => this.engine.renew(taskId))
  }

  async checkpoint (taskId: string): Promise<WorkerOutcome<{ checkpoint: string }>> {
    const { checkpointMs } = this.engine.faults
    if (checkpointMs > 0) await new Promise(resolve => setTimeout(resolve, checkpointMs))
    return this._performOrder(() => this.engine.checkpoint(taskId))
  }

  throttle (taskId: string, share: number): Promise<WorkerOutcome> {
    return this._performOrder(() => this.engine.throttle(taskId, share))
  }

  stop (taskId: string): Promise<WorkerOutcome> {
    return this._performOrder(() => this.engine.stop(taskId))
  }

  listTasks (): Promise<WorkerOutcome<{ tasks: readonly TaskReport[] }>> {
    return this._performOrder(() => ({ kind: 'ok', tasks: this.engine.list() }))
  }

  async close (): Promise<void> {}

  private async _performOrder<T> (order: () => WorkerOutcome<T>): Promise<WorkerOutcome<T>> {
    await Promise.resolve()
    if (this.isDown) return { kind: 'lost', message: 'the worker does not answer' }
    const outcome = order()
    if (this.engine.faults.loseAnswers <= 0) return outcome
    this.engine.faults.loseAnswers--
    return { kind: 'lost', message: 'the answer was lost' }
  }
}
