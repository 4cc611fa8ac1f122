/**
 * Dispatches requests to agents: queues a request until an agent has capacity, picks an agent, sends one attempt, and decides
 * by the attempt's result whether another attempt is allowed.
 */
import { randomUUID } from 'node:crypto'

import { NotRunReason, RetryBudget, UnknownReason, makeAnswered, makeNotRun, makeUnknown } from '@dragonflylever/core'
import type { Outcome, QueuedRequest, RequestQueue, Router } from '@dragonflylever/core'
import type { PeerRpc } from '@dragonflylever/protocol'

import type { AgentTarget, AttemptResult, AttemptSender } from './agentLink.js'
import type { AgentTable } from './agentTable.js'
import type { CallerRequest } from './callerRequest.js'

const EXPIRY_INTERVAL_MS = 20
const WITHDRAW_TIMEOUT_MS = 500
const WITHDRAW_RETRY_MS = 100
const NO_AGENT_RETRY_AFTER_MS = 1_000
const MAX_ATTEMPTS = 5
const RETRIES_PER_REQUEST = 0.1
const MAX_SAVED_RETRIES = 100

/**
 * Refusals by an agent that is shutting down, has been replaced or has no endpoint. Retrying them is not charged to the retry budget,
 * since an attempt at the next agent adds no load to the fleet.
 */
const UNBUDGETED_RETRY_REASONS = new Set<NotRunReason>([NotRunReason.leaving, NotRunReason.refused, NotRunReason.noEndpoint])

/** Dependencies of {@link Dispatcher}. */
export interface DispatcherDependencies {
  readonly queue: RequestQueue
  readonly router: Router
  readonly agents: AgentTable
  readonly sender: AttemptSender
  readonly peers: PeerRpc
}

type Assignment = { readonly kind: 'go', readonly target: AgentTarget } | { readonly kind: 'end', readonly outcome: Outcome }

/** Decision after an attempt: the request ends with an outcome, or another attempt is allowed. */
type AttemptDecision = { readonly kind: 'end', readonly outcome: Outcome } | { readonly kind: 'retry', readonly mayHaveRun: boolean }

const RETRY: AttemptDecision = { kind: 'retry', mayHaveRun: false }
const RETRY_MAY_HAVE_RUN: AttemptDecision = { kind: 'retry', mayHaveRun: true }

interface WaitingRequest {
  readonly request: CallerRequest
  readonly tried: ReadonlySet<string>
  readonly resolve: (assignment: Assignment) => void
}

interface InFlightAttempt {
  readonly target: AgentTarget
  readonly deadlineAt: number
  readonly abort: AbortController
}

export class Dispatcher {
  private readonly _dependencies: DispatcherDependencies
  private readonly _waiting = new Map<string, WaitingRequest>()
  private readonly _inFlight = new Map<string, InFlightAttempt>()
  private readonly _retries = new RetryBudget({ retriesPerRequest: RETRIES_PER_REQUEST, maxSaved: MAX_SAVED_RETRIES })
  private readonly _expiryTimer: NodeJS.Timeout

  constructor (dependencies: DispatcherDependencies) {
    this._dependencies = dependencies
    this._expiryTimer = setInterval(() => this._expireRequests(), EXPIRY_INTERVAL_MS)
  }

  /** Number of requests in progress: those that wait for an agent and those in flight. */
  get size (): number {
    return this._waiting.size + this._inFlight.size
  }

  /** Runs one request to its outcome. `signal` is aborted when the caller disconnects. */
  async run (request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
    this._retries.recordRequest()
    const tried = new Set<string>()
    let mayHaveRun = false
    for (let attempt = 1; ; attempt++) {
      const assignment = await this._waitForAgent(request, tried, signal)
      if (assignment.kind === 'end') return mergeEarlierAttempts(assignment.outcome, mayHaveRun)
      const decision = await this._runAttempt(request, assignment.target, attempt, signal)
      if (decision.kind === 'end') return mergeEarlierAttempts(decision.outcome, mayHaveRun)
      mayHaveRun ||= decision.mayHaveRun
      tried.add(assignment.target.agentId)
    }
  }

  /** Sends the waiting requests for which an agent has capacity; called after each change of the known agents. */
  startWaitingRequests (): void {
    this._startWaitingRequests()
  }

  /** Aborts the attempts in flight at agent incarnations that are no longer members. */
  abortAttempts (incarnations: readonly string[]): void {
    const gone = new Set(incarnations)
    for (const inFlight of this._inFlight.values()) if (gone.has(inFlight.target.incarnation)) inFlight.abort.abort()
  }

  close (): void {
    clearInterval(this._expiryTimer)
  }

  private _waitForAgent (request: CallerRequest, tried: ReadonlySet<string>, signal: AbortSignal): Promise<Assignment> {
    const now = performance.now()
    if (signal.aborted) return Promise.resolve({ kind: 'end', outcome: makeCancelledOutcome() })
    const offer = this._dependencies.queue.offer(makeQueuedRequest(request), now)
    if (offer.kind === 'refused') {
      return Promise.resolve({ kind: 'end', outcome: makeNotRun(offer.reason, 'the request was refused before it was sent', offer.retryAfterMs) })
    }
    for (const shed of offer.shed) this._endWaitingRequest(shed.id, makeNotRun(shed.reason, 'more urgent work took the place', shed.retryAfterMs))
    const assignment = new Promise<Assignment>(resolve => {
      const onAbort = (): void => {
        if (this._dependencies.queue.remove(request.requestId)) this._endWaitingRequest(request.requestId, makeCancelledOutcome())
      }
      signal.addEventListener('abort', onAbort, { once: true })
      const resolveAssignment = (value: Assignment): void => {
        signal.removeEventListener('abort', onAbort)
        resolve(value)
      }
      this._waiting.set(request.requestId, { request, tried, resolve: resolveAssignment })
    })
    this._startWaitingRequests()
    return assignment
  }

  private _startWaitingRequests (): void {
    while (this._hasCapacity()) {
      const next = this._dependencies.queue.take(performance.now())
      if (next === undefined) return
      this._routeToAgent(next)
    }
  }

  private _hasCapacity (): boolean {
    const { agents, router } = this._dependencies
    if (this._waiting.size === 0 || !agents.hasFreeConnection()) return false
    return router.hasRoom?.(agents.listAvailable(), performance.now()) !== false
  }

  private _routeToAgent (next: QueuedRequest): void {
    const waiting = this._waiting.get(next.id)
    if (waiting === undefined) throw new Error('invariant: a request taken from the queue is not among the waiting requests')
    const candidates = this._dependencies.agents.listAvailable()
    const routed = { ...next, tried: waiting.tried, bodyBytes: waiting.request.body.length }
    const now = performance.now()
    const pick = this._dependencies.router.pick(routed, candidates, now) ?? this._dependencies.router.pick({ ...routed, tried: new Set() }, candidates, now)
    const target = pick === undefined ? undefined : this._dependencies.agents.getAgentTarget(pick.agentId)
    this._waiting.delete(next.id)
    if (target === undefined) {
      this._dependencies.queue.finish(next, 0, now)
      waiting.resolve({ kind: 'end', outcome: makeNotRun(NotRunReason.noEndpoint, 'no endpoint takes the request now', NO_AGENT_RETRY_AFTER_MS) })
      return
    }
    this._dependencies.agents.start(target.agentId)
    waiting.resolve({ kind: 'go', target })
  }

  private async _runAttempt (request: CallerRequest, target: AgentTarget, attempt: number, signal: AbortSignal): Promise<AttemptDecision> {
    const attemptId = randomUUID()
    const result = await this._sendAttempt(request, target, attemptId, signal)
    const isLast = attempt >= MAX_ATTEMPTS || performance.now() >= request.deadlineAt
    if (result.kind === 'answered') return endWithOutcome(makeAnswered(result.answer))
    if (result.kind === 'notSent') return isLast ? endWithOutcome(makeNotRun(NotRunReason.noEndpoint, result.message, NO_AGENT_RETRY_AFTER_MS)) : RETRY
    if (result.kind === 'notRun') {
      const mayRetry = !isLast && !signal.aborted && (UNBUDGETED_RETRY_REASONS.has(result.reason) || this._retries.takeRetry())
      return mayRetry ? RETRY : endWithOutcome(makeNotRun(result.reason, 'the agent refused the request', result.retryAfterMs))
    }
    return this._resolveUncertainAttempt(request, target, attemptId, result, isLast, signal)
  }

  /**
   * Decides whether to retry after an attempt that may have run. An idempotent request may be retried; any other request only after the agent has
   * confirmed that the attempt never started.
   */
  private async _resolveUncertainAttempt (request: CallerRequest, target: AgentTarget, attemptId: string, result: { kind: 'lost' } | { kind: 'unknown', reason: UnknownReason }, isLast: boolean, signal: AbortSignal): Promise<AttemptDecision> {
    const reason = chooseUnknownReason(request, result)
    const mayRetry = request.isIdempotent && !isLast && !signal.aborted && reason !== UnknownReason.answerTooLarge
    if (mayRetry && this._retries.takeRetry()) return RETRY_MAY_HAVE_RUN
    if (result.kind === 'unknown') return endWithOutcome(makeUnknown(reason, 'the endpoint was reached and no whole answer came back'))
    const isNeverStarted = await this._withdrawAttempt(request, target, attemptId)
    if (!isNeverStarted) return endWithOutcome(makeUnknown(reason, 'the request may have run; the agent did not say'))
    if (signal.aborted) return endWithOutcome(makeCancelledOutcome())
    const mayResend = !request.isIdempotent && !isLast
    return mayResend ? RETRY : endWithOutcome(makeNotRun(NotRunReason.deadlinePassed, 'the request was withdrawn before it started', NO_AGENT_RETRY_AFTER_MS))
  }

  private async _sendAttempt (request: CallerRequest, target: AgentTarget, attemptId: string, signal: AbortSignal): Promise<AttemptResult> {
    const startedAt = performance.now()
    const abort = new AbortController()
    const onAbort = (): void => abort.abort()
    signal.addEventListener('abort', onAbort, { once: true })
    this._inFlight.set(attemptId, { target, deadlineAt: request.deadlineAt, abort })
    const result = await this._dependencies.sender.send(target, request, attemptId, abort.signal)
    signal.removeEventListener('abort', onAbort)
    this._inFlight.delete(attemptId)
    this._dependencies.agents.recordAttemptEnd(target, 'load' in result ? result.load : undefined)
    this._reportToRouter(request, target, result, startedAt)
    const now = performance.now()
    this._dependencies.queue.finish(makeQueuedRequest(request), result.kind === 'answered' ? now - startedAt : 0, now)
    this._startWaitingRequests()
    return result
  }

  private _reportToRouter (request: CallerRequest, target: AgentTarget, result: AttemptResult, startedAt: number): void {
    const now = performance.now()
    const isFailure = result.kind === 'answered' && result.answer.status >= 500
    const kind = isFailure ? 'failedFast' : result.kind === 'answered' ? 'answered' : result.kind === 'notRun' ? 'refused' : 'lost'
    this._dependencies.router.report({ agentId: target.agentId, className: request.className, kind, latencyMs: now - startedAt }, now)
  }

  /** Withdraws the attempt at its agent; returns true only when the agent guarantees, before the deadline, that the attempt never starts. */
  private async _withdrawAttempt (request: CallerRequest, target: AgentTarget, attemptId: string): Promise<boolean> {
    do {
      const outcome = await this._dependencies.peers.call(target.address, 'withdraw', { attemptId, incarnation: target.incarnation }, WITHDRAW_TIMEOUT_MS)
      if (outcome.kind === 'ok') return outcome.value.outcome === 'neverStarted'
      if (this._isAgentReplaced(target)) return false
      await new Promise(resolve => setTimeout(resolve, WITHDRAW_RETRY_MS))
    } while (performance.now() < request.deadlineAt)
    return false
  }

  /** Returns true when the agent has restarted: its new incarnation knows nothing of the attempts at the earlier one. */
  private _isAgentReplaced (target: AgentTarget): boolean {
    const current = this._dependencies.agents.getAgentTarget(target.agentId)
    return current !== undefined && current.incarnation !== target.incarnation
  }

  private _expireRequests (): void {
    const now = performance.now()
    for (const request of this._dependencies.queue.expire(now)) {
      this._endWaitingRequest(request.id, makeNotRun(NotRunReason.deadlinePassed, 'the deadline passed before the request could be sent'))
    }
    for (const inFlight of this._inFlight.values()) if (inFlight.deadlineAt <= now) inFlight.abort.abort()
    this._startWaitingRequests()
  }

  private _endWaitingRequest (requestId: string, outcome: Outcome): void {
    const waiting = this._waiting.get(requestId)
    this._waiting.delete(requestId)
    waiting?.resolve({ kind: 'end', outcome })
  }
}

function makeQueuedRequest (request: CallerRequest): QueuedRequest {
  return {
    id: request.requestId,
    className: request.className,
    organisation: request.organisation,
    caller: request.caller,
    arrivedAt: request.arrivedAt,
    deadlineAt: request.deadlineAt
  }
}

function makeCancelledOutcome (): Outcome {
  return makeNotRun(NotRunReason.cancelled, 'the caller went before the request was sent')
}

function chooseUnknownReason (request: CallerRequest, result: { kind: 'lost' } | { kind: 'unknown', reason: UnknownReason }): UnknownReason {
  if (performance.now() >= request.deadlineAt) return UnknownReason.deadlinePassed
  return result.kind === 'unknown' ? result.reason : UnknownReason.answerLost
}

function endWithOutcome (outcome: Outcome): AttemptDecision {
  return { kind: 'end', outcome }
}

/** Turns `notRun` into `unknown` when an earlier attempt may have run, since the request as a whole may then have run. */
function mergeEarlierAttempts (outcome: Outcome, mayHaveRun: boolean): Outcome {
  if (outcome.kind !== 'notRun' || !mayHaveRun) return outcome
  return makeUnknown(UnknownReason.answerLost, `an earlier attempt may have run; the last one ended with: ${outcome.reason}`)
}
