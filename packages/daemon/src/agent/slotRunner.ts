/**
 * Runs attempts in the slots of one endpoint: queues them, runs at most one per slot at a time, and confirms on request that an
 * attempt has never started.
 */
import { AttemptTracker, NotRunReason, UnknownReason } from '@dragonflylever/core'
import type { Answer, QueuedRequest, RequestQueue, WithdrawResult } from '@dragonflylever/core'
import type { Endpoint, EndpointOutcome, EndpointRequest } from '@dragonflylever/adapters'

/** How an attempt ended at this agent. `notRun`: it did not run and never will. `unknown`: it may have run, and there is no complete answer. */
export type RunResult =
  | { readonly kind: 'answered', readonly answer: Answer }
  | { readonly kind: 'notRun', readonly reason: NotRunReason, readonly retryAfterMs: number }
  | { readonly kind: 'unknown', readonly reason: UnknownReason }

/** One attempt as dispatched by an entry. */
export interface Attempt {
  readonly attemptId: string
  readonly queued: QueuedRequest
  readonly request: EndpointRequest
}

/** Dependencies of {@link SlotRunner}. */
export interface SlotRunnerDependencies {
  readonly queue: RequestQueue
  readonly endpoint: Endpoint
  readonly tracker: AttemptTracker
}

interface WaitingAttempt {
  readonly attempt: Attempt
  readonly signal: AbortSignal
  readonly resolve: (result: RunResult) => void
}

const EXPIRY_INTERVAL_MS = 20

export class SlotRunner {
  private readonly _dependencies: SlotRunnerDependencies
  private readonly _waiting = new Map<string, WaitingAttempt>()
  private readonly _expiryTimer: NodeJS.Timeout
  private _running = 0
  private _idleListeners: Array<() => void> = []

  constructor (dependencies: SlotRunnerDependencies) {
    this._dependencies = dependencies
    this._expiryTimer = setInterval(() => this._expireWaitingAttempts(), EXPIRY_INTERVAL_MS)
  }

  /** Number of attempts that are running. */
  get running (): number {
    return this._running
  }

  /** Number of attempts that wait for a slot. */
  get waiting (): number {
    return this._waiting.size
  }

  /** Queues an attempt, runs it once a slot is free and resolves with its result. `signal` is aborted when the entry disconnects or cancels. */
  run (attempt: Attempt, signal: AbortSignal): Promise<RunResult> {
    const now = performance.now()
    const accepted = this._dependencies.tracker.acceptDispatch(attempt.attemptId, now)
    // The first dispatch of this attempt may be running, so the duplicate can't be reported as not run.
    if (accepted === 'duplicate') return Promise.resolve({ kind: 'unknown', reason: UnknownReason.answerLost })
    if (accepted !== 'accepted') return Promise.resolve(makeNotRunResult(NotRunReason.refused))
    const offer = this._dependencies.queue.offer(attempt.queued, now)
    if (offer.kind === 'refused') {
      this._dependencies.tracker.withdraw(attempt.attemptId, now)
      return Promise.resolve(makeNotRunResult(offer.reason, offer.retryAfterMs))
    }
    for (const shed of offer.shed) this._refuseWaitingAttempt(shed.id, shed.reason, shed.retryAfterMs)
    const result = new Promise<RunResult>(resolve => {
      this._waiting.set(attempt.attemptId, { attempt, signal, resolve })
    })
    signal.addEventListener('abort', () => { this.withdraw(attempt.attemptId) }, { once: true })
    this._startWaitingAttempts()
    return result
  }

  /** Withdraws an attempt; `neverStarted` guarantees that it has not started and never will. */
  withdraw (attemptId: string): WithdrawResult {
    const result = this._dependencies.tracker.withdraw(attemptId, performance.now())
    if (result === 'neverStarted' && this._dependencies.queue.remove(attemptId)) this._resolveWaitingAttempt(attemptId, makeNotRunResult(NotRunReason.cancelled))
    return result
  }

  /** Resolves when no attempt is running or waiting. */
  async drain (): Promise<void> {
    if (this._isIdle()) return
    await new Promise<void>(resolve => this._idleListeners.push(resolve))
  }

  close (): void {
    clearInterval(this._expiryTimer)
  }

  private _startWaitingAttempts (): void {
    for (;;) {
      const now = performance.now()
      const next = this._dependencies.queue.take(now)
      if (next === undefined) return
      const waiting = this._waiting.get(next.id)
      if (waiting === undefined || !this._dependencies.tracker.start(next.id)) throw new Error('invariant: the queue returned an attempt that is not waiting or has been withdrawn')
      this._waiting.delete(next.id)
      void this._runAttempt(waiting, now)
    }
  }

  private async _runAttempt (waiting: WaitingAttempt, startedAt: number): Promise<void> {
    this._running++
    const { attempt } = waiting
    const outcome = await this._dependencies.endpoint.send(attempt.request, waiting.signal)
    const now = performance.now()
    this._dependencies.tracker.finish(attempt.attemptId, now)
    waiting.resolve(convertEndpointOutcome(outcome))
    this._running--
    this._dependencies.queue.finish(attempt.queued, now - startedAt, now)
    this._startWaitingAttempts()
    this._notifyIdle()
  }

  private _expireWaitingAttempts (): void {
    for (const request of this._dependencies.queue.expire(performance.now())) this._refuseWaitingAttempt(request.id, NotRunReason.deadlinePassed, 0)
  }

  private _refuseWaitingAttempt (attemptId: string, reason: NotRunReason, retryAfterMs: number): void {
    this._dependencies.tracker.withdraw(attemptId, performance.now())
    this._resolveWaitingAttempt(attemptId, makeNotRunResult(reason, retryAfterMs))
  }

  private _resolveWaitingAttempt (attemptId: string, result: RunResult): void {
    const waiting = this._waiting.get(attemptId)
    this._waiting.delete(attemptId)
    waiting?.resolve(result)
    this._notifyIdle()
  }

  private _isIdle (): boolean {
    return this._running === 0 && this._waiting.size === 0
  }

  private _notifyIdle (): void {
    if (!this._isIdle()) return
    const listeners = this._idleListeners
    this._idleListeners = []
    for (const listener of listeners) listener()
  }
}

function makeNotRunResult (reason: NotRunReason, retryAfterMs = 0): RunResult {
  return { kind: 'notRun', reason, retryAfterMs }
}

function convertEndpointOutcome (outcome: EndpointOutcome): RunResult {
  if (outcome.kind === 'answered') return outcome
  if (outcome.kind === 'notSent') return makeNotRunResult(NotRunReason.noEndpoint)
  if (outcome.kind === 'tooLarge') return { kind: 'unknown', reason: UnknownReason.answerTooLarge }
  return { kind: 'unknown', reason: UnknownReason.answerLost }
}
