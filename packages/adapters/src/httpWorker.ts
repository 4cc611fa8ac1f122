/**
 * {@link Worker} over HTTP, where each call is one request with a JSON body.
 */
import { Pool } from 'undici'

import { describeCallFailure } from './callFailure.js'
import type { TaskOrder, TaskReport, Worker, WorkerOutcome } from './worker.js'

const CALL_TIMEOUT_MS = 2_000
const CHECKPOINT_TIMEOUT_MS = 120_000
const CONNECTIONS = 2

/** HTTP paths of the worker's API. At each path the worker accepts POST requests with a JSON object as body, and answers with a JSON object. */
export const WorkerPath = {
  prepare: '/v1/tasks/prepare',
  start: '/v1/tasks/start',
  renew: '/v1/tasks/renew',
  checkpoint: '/v1/tasks/checkpoint',
  throttle: '/v1/tasks/throttle',
  stop: '/v1/tasks/stop',
  list: '/v1/tasks/list'
} as const

export class HttpWorker implements Worker {
  private readonly _pool: Pool

  constructor (url: string) {
    this._pool = new Pool(url, { connections: CONNECTIONS, pipelining: 1, headersTimeout: 0 })
  }

  prepare (order: TaskOrder): Promise<WorkerOutcome> {
    return this._callWorker(WorkerPath.prepare, order)
  }

  start (taskId: string): Promise<WorkerOutcome> {
    return this._callWorker(WorkerPath.start, { taskId })
  }

  renew (taskId: string): Promise<WorkerOutcome> {
    return this._callWorker(WorkerPath.renew, { taskId })
  }

  checkpoint (taskId: string): Promise<WorkerOutcome<{ checkpoint: string }>> {
    return this._callWorker(WorkerPath.checkpoint, { taskId }, CHECKPOINT_TIMEOUT_MS)
  }

  throttle (taskId: string, share: number): Promise<WorkerOutcome> {
    return this._callWorker(WorkerPath.throttle, { taskId, share })
  }

  stop (taskId: string): Promise<WorkerOutcome> {
    return this._callWorker(WorkerPath.stop, { taskId })
  }

  listTasks (): Promise<WorkerOutcome<{ tasks: TaskReport[] }>> {
    return this._callWorker(WorkerPath.list, {})
  }

  async close (): Promise<void> {
    await this._pool.destroy()
  }

  private async _callWorker<T> (path: string, body: object, timeoutMs = CALL_TIMEOUT_MS): Promise<WorkerOutcome<T>> {
    try {
      const response = await this._pool.request({
        method: 'POST',
        path,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs)
      })
      const answer = await response.body.json() as object
      if (response.statusCode === 200) return { kind: 'ok', ...answer as T }
      if (response.statusCode < 500) return { kind: 'refused', message: String((answer as { message?: string }).message) }
      return { kind: 'lost', message: `the worker answered ${response.statusCode}` }
    } catch (error) {
      const { isNotSent, message } = describeCallFailure(error)
      return { kind: isNotSent ? 'refused' : 'lost', message: `worker call ${path}: ${message}` }
    }
  }
}
