/**
 * Simulated agent with its endpoint, under the virtual clock. It queues dispatched requests and runs each for the time given with its dispatch.
 */
import type { QueuedRequest, RequestQueue } from '@dragonflylever/core'

import type { VirtualClock } from './virtualClock.js'

/** Numbers of running and waiting requests of an agent, as reported with its answers. */
export interface AgentLoad {
  readonly running: number
  readonly waiting: number
}

export type AgentResult = { readonly kind: 'answered' | 'refused', readonly load: AgentLoad }

/** Request dispatched to an agent. Only the endpoint knows `runMs`; scheduling does not use it. */
export interface AgentDispatch {
  readonly request: QueuedRequest
  readonly runMs: number
  readonly onStart: () => void
  readonly onEnd: (result: AgentResult) => void
}

const EXPIRY_INTERVAL_MS = 20

export class FakeAgent {
  readonly agentId: string
  readonly region: string
  readonly failureDomain: string
  private readonly _clock: VirtualClock
  private readonly _queue: RequestQueue
  private readonly _waitingDispatches = new Map<string, AgentDispatch>()
  private _running = 0

  constructor (place: { agentId: string, region: string, failureDomain: string }, clock: VirtualClock, queue: RequestQueue) {
    this.agentId = place.agentId
    this.region = place.region
    this.failureDomain = place.failureDomain
    this._clock = clock
    this._queue = queue
    this._expireQueued()
  }

  /** Adds a dispatched request to the queue and starts it when a slot is free. Reports it as refused if the queue does not accept it. */
  receive (dispatch: AgentDispatch): void {
    const offer = this._queue.offer(dispatch.request, this._clock.now)
    if (offer.kind === 'refused') {
      dispatch.onEnd({ kind: 'refused', load: this._getLoad() })
      return
    }
    this._waitingDispatches.set(dispatch.request.id, dispatch)
    for (const shed of offer.shed) this._refuseQueued(shed.id)
    this._startQueued()
  }

  private _startQueued (): void {
    for (let next = this._queue.take(this._clock.now); next !== undefined; next = this._queue.take(this._clock.now)) this._startRequest(next)
  }

  private _startRequest (request: QueuedRequest): void {
    const dispatch = this._waitingDispatches.get(request.id)
    if (dispatch === undefined) throw new Error('invariant: no dispatch recorded for a queued request')
    this._waitingDispatches.delete(request.id)
    this._running++
    dispatch.onStart()
    this._clock.schedule(dispatch.runMs, () => {
      this._running--
      this._queue.finish(request, dispatch.runMs, this._clock.now)
      dispatch.onEnd({ kind: 'answered', load: this._getLoad() })
      this._startQueued()
    })
  }

  private _expireQueued (): void {
    for (const request of this._queue.expire(this._clock.now)) this._refuseQueued(request.id)
    this._clock.schedule(EXPIRY_INTERVAL_MS, () => this._expireQueued())
  }

  private _refuseQueued (id: string): void {
    const dispatch = this._waitingDispatches.get(id)
    this._waitingDispatches.delete(id)
    dispatch?.onEnd({ kind: 'refused', load: this._getLoad() })
  }

  private _getLoad (): AgentLoad {
    return { running: this._running, waiting: this._waitingDispatches.size }
  }
}
