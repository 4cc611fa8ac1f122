/**
 * In-memory agent for property tests: a real slot runner behind simulated messages that can be cut off, delayed, paused or duplicated.
 */
import { createHash } from 'node:crypto'

import { AttemptTracker, FifoQueue, NotRunReason } from '@dragonflylever/core'
import type { Endpoint, EndpointOutcome, EndpointRequest } from '@dragonflylever/adapters'
import type { Member } from '@dragonflylever/protocol'

import { SlotRunner } from '../../src/index.js'
import type { AgentTarget, AttemptResult, CallerRequest } from '../../src/index.js'

/** Faults that can be injected into one dispatch from an entry to an agent. */
export const SendFaults = ['none', 'notSent', 'cutBefore', 'cutDuring', 'loseAnswer', 'late', 'duplicate'] as const
export type SendFault = typeof SendFaults[number]

/** Faults that can be injected into one execution at the endpoint. */
export const RunFaults = ['none', 'cutBefore', 'cutAfter', 'hang'] as const
export type RunFault = typeof RunFaults[number]

const DELIVERY_MS = 1
const LATE_MS = 400
const CUT_MS = 60
const SLOTS = 2
const LOST: AttemptResult = { kind: 'lost', message: 'cut' }

/** Returns the value of a request's header, or an empty string when the request has no such header. */
export function readHeader (request: { headers: EndpointRequest['headers'] }, name: string): string {
  return request.headers.find(([key]) => key === name)?.[1] ?? ''
}

/** Returns the body with which the endpoint answers a request body. */
export function computeAnswer (body: Buffer): string {
  return createHash('sha256').update(body).digest('hex')
}

export function waitFor (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

export class SimulatedAgent implements Endpoint {
  /** Work ids of all executions at the endpoint in the order of their start, over all incarnations of the agent. */
  readonly executions: string[] = []
  private readonly _index: number
  private readonly _nextRunFault: () => RunFault
  private _incarnation = 1
  private _runner = this._createRunner()
  private _pausedUntil = 0
  private _connections = new Set<AbortController>()

  constructor (index: number, nextRunFault: () => RunFault) {
    this._index = index
    this._nextRunFault = nextRunFault
  }

  get member (): Member {
    return {
      id: `agent-${this._index}`,
      role: 'agent',
      incarnation: `agent-${this._index}#${this._incarnation}`,
      region: 'morava',
      failureDomain: 'jihlava',
      address: `10.0.0.${this._index}:1`,
      state: 'alive',
      agent: { rack: 'rack-1', slots: SLOTS, maxConnections: 60, cores: 1, memoryGb: 1, accelerators: 0 }
    }
  }

  /** Delays every message to or from the agent and every answer of the endpoint until `ms` milliseconds have passed. */
  pause (ms: number): void {
    this._pausedUntil = performance.now() + ms
  }

  /** Kills the agent and starts a new incarnation; its endpoint keeps running. */
  restart (): void {
    const { _connections: brokenConnections } = this
    this._connections = new Set()
    this._runner.close()
    this._incarnation++
    this._runner = this._createRunner()
    for (const connection of brokenConnections) connection.abort()
  }

  /** Handles a dispatch and returns the result as `AttemptSender` sees it. */
  async receiveDispatch (target: AgentTarget, request: CallerRequest, attemptId: string, signal: AbortSignal, fault: SendFault): Promise<AttemptResult> {
    if (fault === 'notSent') return { kind: 'notSent', message: 'refused' }
    if (fault === 'cutBefore') return LOST
    const connection = new AbortController()
    signal.addEventListener('abort', () => connection.abort(), { once: true })
    const connectionLost = new Promise<AttemptResult>(resolve => connection.signal.addEventListener('abort', () => resolve(LOST), { once: true }))
    if (fault === 'cutDuring') setTimeout(() => connection.abort(), CUT_MS)
    // A message in a socket's buffer can arrive after its connection has closed.
    if (fault === 'late') setTimeout(() => connection.abort(), DELIVERY_MS)
    const answer = this._runAttempt(target, request, attemptId, connection, fault === 'late' ? LATE_MS : DELIVERY_MS)
    const secondAnswer = fault === 'duplicate' ? this._runAttempt(target, request, attemptId, connection, DELIVERY_MS) : answer
    const result = await Promise.race([answer, secondAnswer, connectionLost])
    return fault === 'loseAnswer' ? LOST : result
  }

  /** Withdraws an attempt and returns the agent's answer; `cannotVouch` when `incarnation` is not the current one. */
  async withdraw (attemptId: string, incarnation: string): Promise<'neverStarted' | 'started' | 'cannotVouch'> {
    await this._waitForDelivery(DELIVERY_MS)
    return incarnation === this.member.incarnation ? this._runner.withdraw(attemptId) : 'cannotVouch'
  }

  async send (request: EndpointRequest, signal: AbortSignal): Promise<EndpointOutcome> {
    const incarnation = this._incarnation
    const fault = this._nextRunFault()
    if (fault === 'cutBefore') return { kind: 'lost', message: 'cut' }
    this.executions.push(readHeader(request, 'x-work-id'))
    const aborted = new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
    await Promise.race([aborted, fault === 'hang' ? aborted : waitFor(Number(readHeader(request, 'x-run-ms')))])
    await this._waitForDelivery(0)
    if (signal.aborted || fault === 'cutAfter' || incarnation !== this._incarnation) return { kind: 'lost', message: 'cut' }
    return { kind: 'answered', answer: { status: 200, headers: [], body: Buffer.from(computeAnswer(request.body)) } }
  }

  async close (): Promise<void> {
    this._runner.close()
  }

  private async _runAttempt (target: AgentTarget, request: CallerRequest, attemptId: string, connection: AbortController, delayMs: number): Promise<AttemptResult> {
    await this._waitForDelivery(delayMs)
    const load = { running: this._runner.running, waiting: this._runner.waiting }
    if (target.incarnation !== this.member.incarnation) return { kind: 'notRun', reason: NotRunReason.refused, retryAfterMs: 0, load }
    this._connections.add(connection)
    const queued = { id: attemptId, className: request.className, organisation: request.organisation, caller: '', arrivedAt: performance.now(), deadlineAt: request.deadlineAt }
    const attempt = { attemptId, queued, request: { method: request.method, path: request.path, headers: request.headers, body: request.body } }
    const result = await this._runner.run(attempt, connection.signal)
    await this._waitForDelivery(DELIVERY_MS)
    return { ...result, load }
  }

  private async _waitForDelivery (ms: number): Promise<void> {
    await waitFor(ms)
    while (performance.now() < this._pausedUntil) await waitFor(this._pausedUntil - performance.now())
  }

  private _createRunner (): SlotRunner {
    return new SlotRunner({ queue: new FifoQueue({ maxWaiting: 60, slots: SLOTS }), endpoint: this, tracker: new AttemptTracker({ maxEntries: 1_000, retentionMs: 600_000 }) })
  }
}
