/**
 * Simulated entry under the virtual clock. Like the dispatcher, it queues requests, routes them and retries those that an agent refused.
 */
import { NotRunReason } from '@dragonflylever/core'
import type { Candidate, QueuedRequest, RequestQueue, Router } from '@dragonflylever/core'

import type { AgentLoad, AgentResult, FakeAgent } from './fakeAgent.js'
import type { VirtualClock } from './virtualClock.js'

/** Is notified of the start and the outcome of a request, at the virtual time at which they occur. */
export interface RequestListener {
  onStart (): void
  onEnd (outcome: 'answered' | 'shed' | 'expired'): void
}

/** Dependencies of {@link FakeEntry}. */
export interface FakeEntryDependencies {
  readonly clock: VirtualClock
  readonly queue: RequestQueue
  readonly router: Router
  readonly agents: readonly FakeAgent[]
  readonly region: string
  readonly maxInFlight: number
  readonly slots: number
  /** One-way latency to an agent in milliseconds. */
  readonly getLatency: (agent: FakeAgent) => number
}

interface PendingRequest {
  readonly request: QueuedRequest
  readonly runMs: number
  readonly listener: RequestListener
  readonly tried: Set<string>
}

const EXPIRY_INTERVAL_MS = 20
const MAX_ATTEMPTS = 5
const BODY_BYTES = 256
const NO_LOAD: AgentLoad = { running: 0, waiting: 0 }

export class FakeEntry {
  private readonly _dependencies: FakeEntryDependencies
  private readonly _pending = new Map<string, PendingRequest>()
  private readonly _inFlight = new Map<string, number>()
  private readonly _loads = new Map<string, AgentLoad>()

  constructor (dependencies: FakeEntryDependencies) {
    this._dependencies = dependencies
    this._expireQueued()
  }

  /** Queues a caller's request, or ends it as shed or expired if the queue refuses it. */
  receive (request: QueuedRequest, runMs: number, listener: RequestListener): void {
    this._offerToQueue({ request, runMs, listener, tried: new Set() })
  }

  private _offerToQueue (pending: PendingRequest): void {
    const { clock, queue } = this._dependencies
    const offer = queue.offer(pending.request, clock.now)
    if (offer.kind === 'refused') {
      pending.listener.onEnd(offer.reason === NotRunReason.deadlinePassed ? 'expired' : 'shed')
      return
    }
    this._pending.set(pending.request.id, pending)
    for (const shed of offer.shed) this._endQueued(shed.id, 'shed')
    this._sendQueued()
  }

  private _sendQueued (): void {
    while (this._hasFreeAgent() && this._dependencies.router.hasRoom?.(this._listCandidates(), this._dependencies.clock.now) !== false) {
      const next = this._dependencies.queue.take(this._dependencies.clock.now)
      if (next === undefined) return
      this._routeRequest(next)
    }
  }

  private _hasFreeAgent (): boolean {
    return this._dependencies.agents.some(agent => (this._inFlight.get(agent.agentId) ?? 0) < this._dependencies.maxInFlight)
  }

  private _routeRequest (request: QueuedRequest): void {
    const { clock, router, queue } = this._dependencies
    const pending = this._pending.get(request.id)
    if (pending === undefined) throw new Error('invariant: a queued request has no pending record')
    this._pending.delete(request.id)
    const candidates = this._listCandidates()
    const routed = { ...request, tried: pending.tried, bodyBytes: BODY_BYTES }
    const pick = router.pick(routed, candidates, clock.now) ?? router.pick({ ...routed, tried: new Set() }, candidates, clock.now)
    const agent = this._dependencies.agents.find(({ agentId }) => agentId === pick?.agentId)
    if (agent === undefined) {
      queue.finish(request, 0, clock.now)
      pending.listener.onEnd('shed')
      return
    }
    this._sendToAgent(pending, agent)
  }

  private _sendToAgent (pending: PendingRequest, agent: FakeAgent): void {
    const { clock } = this._dependencies
    const latencyMs = this._dependencies.getLatency(agent)
    const sentAt = clock.now
    this._inFlight.set(agent.agentId, (this._inFlight.get(agent.agentId) ?? 0) + 1)
    clock.schedule(latencyMs, () => agent.receive({
      request: { ...pending.request, arrivedAt: clock.now },
      runMs: pending.runMs,
      onStart: () => pending.listener.onStart(),
      onEnd: result => clock.schedule(latencyMs, () => this._settleAttempt(pending, agent, result, sentAt))
    }))
  }

  private _settleAttempt (pending: PendingRequest, agent: FakeAgent, result: AgentResult, sentAt: number): void {
    const { clock, queue, router } = this._dependencies
    const latencyMs = clock.now - sentAt
    this._inFlight.set(agent.agentId, (this._inFlight.get(agent.agentId) ?? 0) - 1)
    this._loads.set(agent.agentId, result.load)
    router.report({ agentId: agent.agentId, className: pending.request.className, kind: result.kind, latencyMs }, clock.now)
    queue.finish(pending.request, result.kind === 'answered' ? latencyMs : 0, clock.now)
    if (result.kind === 'answered') pending.listener.onEnd('answered')
    else this._retry(pending, agent)
    this._sendQueued()
  }

  private _retry (pending: PendingRequest, agent: FakeAgent): void {
    pending.tried.add(agent.agentId)
    if (pending.tried.size >= MAX_ATTEMPTS) pending.listener.onEnd('shed')
    else this._offerToQueue(pending)
  }

  private _expireQueued (): void {
    for (const request of this._dependencies.queue.expire(this._dependencies.clock.now)) this._endQueued(request.id, 'expired')
    this._sendQueued()
    this._dependencies.clock.schedule(EXPIRY_INTERVAL_MS, () => this._expireQueued())
  }

  private _endQueued (id: string, outcome: 'shed' | 'expired'): void {
    const pending = this._pending.get(id)
    this._pending.delete(id)
    pending?.listener.onEnd(outcome)
  }

  private _listCandidates (): Candidate[] {
    return this._dependencies.agents.map(agent => this._describeCandidate(agent))
  }

  private _describeCandidate (agent: FakeAgent): Candidate {
    const load = this._loads.get(agent.agentId) ?? NO_LOAD
    return {
      agentId: agent.agentId,
      region: agent.region,
      failureDomain: agent.failureDomain,
      slots: this._dependencies.slots,
      reportedLoad: load.running + load.waiting,
      inFlight: this._inFlight.get(agent.agentId) ?? 0,
      maxInFlight: this._dependencies.maxInFlight
    }
  }
}
