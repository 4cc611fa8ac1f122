/**
 * An agent with its endpoint under the virtual clock: slots, a queue, and run times that the request brings along.
 */
import type { QueuedRequest, RequestQueue } from '@dragonflylever/core'

import type { VirtualClock } from './virtualClock.js'

/** Load of an agent as its answers report it. */
export interface AgentLoad {
  readonly running: number
  readonly waiting: number
}

export type AgentResult = { readonly kind: 'answered' | 'refused', readonly load: AgentLoad }

/** A request at an agent. `runMs` is known to the endpoint only. */
export interface AgentWork {
  readonly request: QueuedRequest
  readonly runMs: number
  readonly onStart: () => void
  readonly onEnd: (result: AgentResult) => void
}

const SWEEP_MS = 20

export class FakeAgent {
  readonly agentId: string
  readonly region: string
  readonly failureDomain: string
  private readonly _clock: VirtualClock
  private readonly _queue: RequestQueue
  private readonly _work = new Map<string, AgentWork>()
  private _running = 0

  constructor (place: { agentId: string, region: string, failureDomain: string }, clock: VirtualClock, queue: RequestQueue) {
    this.agentId = place.agentId
    this.region = place.region
    this.failureDomain = place.failureDomain
    this._clock = clock
    this._queue = queue
    this._sweep()
  }

  /** Takes a dispatch. */
  receive (work: AgentWork): void {
    const offer = this._queue.offer(work.request, this._clock.now)
    if (offer.kind === 'refused') {
      work.onEnd({ kind: 'refused', load: this._getLoad() })
      return
    }
    this._work.set(work.request.id, work)
    for (const shed of offer.shed) this._refuse(shed.id)
    this._pump()
  }

  private _pump (): void {
    for (let next = this._queue.take(this._clock.now); next !== undefined; next = this._queue.take(this._clock.now)) this._start(next)
  }

  private _start (request: QueuedRequest): void {
    const work = this._work.get(request.id)
    if (work === undefined) throw new Error('invariant: a queued request is known')
    this._work.delete(request.id)
    this._running++
    work.onStart()
    this._clock.schedule(work.runMs, () => {
      this._running--
      this._queue.finish(request, work.runMs, this._clock.now)
      work.onEnd({ kind: 'answered', load: this._getLoad() })
      this._pump()
    })
  }

  private _sweep (): void {
    for (const request of this._queue.expire(this._clock.now)) this._refuse(request.id)
    this._clock.schedule(SWEEP_MS, () => this._sweep())
  }

  private _refuse (id: string): void {
    const work = this._work.get(id)
    this._work.delete(id)
    work?.onEnd({ kind: 'refused', load: this._getLoad() })
  }

  private _getLoad (): AgentLoad {
    return { running: this._running, waiting: this._work.size }
  }
}
