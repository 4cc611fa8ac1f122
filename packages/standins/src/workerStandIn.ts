/**
 * Serves a {@link MemoryWorker} over HTTP.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { WorkerPath } from '@dragonflylever/adapters'
import type { TaskOrder, TaskShape, WorkerOutcome } from '@dragonflylever/adapters'

import { listen, readJson, sendJson } from './httpStandIn.js'
import { MemoryWorker } from './memoryWorker.js'

const ADVANCE_INTERVAL_MS = 20

export class WorkerStandIn {
  readonly worker: MemoryWorker
  private readonly _server: Server
  private _timer: NodeJS.Timeout | undefined
  private _url = ''

  private constructor (capacity: TaskShape | undefined) {
    this.worker = new MemoryWorker(capacity)
    this._server = createServer((request, response) => { void this._handleRequest(request, response) })
  }

  /** Starts a worker on a loopback port; 0 picks a free port. */
  static async open (port = 0, capacity?: TaskShape): Promise<WorkerStandIn> {
    const standIn = new WorkerStandIn(capacity)
    standIn._url = await listen(standIn._server, port)
    standIn._timer = setInterval(() => standIn.worker.engine.advance(), ADVANCE_INTERVAL_MS)
    return standIn
  }

  get url (): string {
    return this._url
  }

  async close (): Promise<void> {
    clearInterval(this._timer)
    this._server.closeAllConnections()
    await new Promise(resolve => this._server.close(resolve))
  }

  private async _handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request) as TaskOrder & { share?: number }
    const outcome = await this._performCall(request.url ?? '', body)
    if (outcome.kind === 'lost') {
      response.destroy()
      return
    }
    sendJson(response, outcome.kind === 'ok' ? 200 : 409, outcome)
  }

  private async _performCall (path: string, body: TaskOrder & { share?: number }): Promise<WorkerOutcome> {
    if (path === WorkerPath.prepare) return this.worker.prepare(body)
    if (path === WorkerPath.start) return this.worker.start(body.taskId)
    if (path === WorkerPath.renew) return this.worker.renew(body.taskId)
    if (path === WorkerPath.checkpoint) return this.worker.checkpoint(body.taskId)
    if (path === WorkerPath.throttle) return this.worker.throttle(body.taskId, body.share ?? 1)
    if (path === WorkerPath.stop) return this.worker.stop(body.taskId)
    if (path === WorkerPath.list) return this.worker.listTasks()
    return { kind: 'refused', message: `no such call: ${path}` }
  }
}
