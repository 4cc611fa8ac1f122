/**
 * Ensures at most one run per idempotency key: a non-idempotent request with a key is dispatched only after a claim on the key
 * is stored durably. All entries see the claim, it survives restarts, and it applies to repeats hours later.
 */
import { createHash, randomUUID } from 'node:crypto'

import { ClaimState, NotRunReason, UnknownReason, decideClaim, decodeClaim, encodeClaim, makeAnswered, makeNotRun, makeUnknown, selectKeptAnswer } from '@dragonflylever/core'
import type { Answer, ClaimRecord, Outcome } from '@dragonflylever/core'
import type { Expectation, Store, StoredValue } from '@dragonflylever/adapters'

import type { CallerRequest } from './callerRequest.js'
import type { ClaimWriteResult, ClaimWriter } from './claimWriter.js'
import type { RequestService } from './requestService.js'

const STORE_RETRY_AFTER_MS = 2_000
/**
 * How long the write of a claim is retried after the request's deadline, in milliseconds. The result of the write is needed to release a
 * claim that took effect.
 */
const LATE_CLAIM_WAIT_MS = 60_000
/** How long the write of a request's outcome to its claim is retried, in milliseconds. */
const RECORD_TIMEOUT_MS = 600_000
/** While at least this many bytes wait to be written to the store, outcomes are stored with their claims without the answer. */
const MAX_PENDING_BYTES = 8 * 1024 * 1024
const DRAIN_TIMEOUT_MS = 10_000
/** Delays between reads of a claim whose request has not ended, in milliseconds. */
const POLL_DELAYS_MS = [100, 200, 400, 800, 1_600]

/** Dependencies of {@link ClaimService}. */
export interface ClaimServiceDependencies {
  readonly store: Store
  readonly writer: Pick<ClaimWriter, 'submit' | 'bytes'>
  readonly inner: RequestService
  /** Prefix of all store keys of the system. */
  readonly prefix: string
}

interface Claim {
  readonly key: string
  readonly record: ClaimRecord
  readonly modRevision: number
}

type ClaimResult = { readonly kind: 'held', readonly claim: Claim } | { readonly kind: 'end', readonly outcome: Outcome }

export class ClaimService implements RequestService {
  private readonly _dependencies: ClaimServiceDependencies
  private readonly _pendingRecords = new Set<Promise<void>>()

  constructor (dependencies: ClaimServiceDependencies) {
    this._dependencies = dependencies
  }

  async serve (request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
    if (request.isIdempotent || request.idempotencyKey === undefined) return this._dependencies.inner.serve(request, signal)
    const result = await this._claimKey(request, request.idempotencyKey, signal)
    if (result.kind === 'end') return result.outcome
    const outcome = await this._dependencies.inner.serve(request, signal)
    this._recordOutcome(result.claim, outcome)
    return outcome
  }

  /** Waits until the outcomes of all requests are stored with their claims, for at most ten seconds. */
  async drain (): Promise<void> {
    const timeoutAt = performance.now() + DRAIN_TIMEOUT_MS
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<void>(resolve => { timer = setTimeout(resolve, DRAIN_TIMEOUT_MS) })
    while (this._pendingRecords.size > 0 && performance.now() < timeoutAt) await Promise.race([Promise.all(this._pendingRecords), timeout])
    clearTimeout(timer)
  }

  private async _claimKey (request: CallerRequest, idempotencyKey: string, signal: AbortSignal): Promise<ClaimResult> {
    const key = makeClaimKey(this._dependencies.prefix, request, idempotencyKey)
    const digest = computeRequestDigest(request)
    let expect: Expectation = { kind: 'absent' }
    for (;;) {
      const record: ClaimRecord = { requestId: request.requestId, nonce: randomUUID(), digest, state: ClaimState.claimed }
      const written = await this._writeClaim(key, record, expect, request, signal)
      if (written.kind === 'ok') return { kind: 'held', claim: { key, record, modRevision: written.modRevision } }
      if (written.kind !== 'conflict') return endWithOutcome(makeClaimFailure(written, signal))
      if (written.current === undefined) {
        expect = { kind: 'absent' }
        continue
      }
      const found = await this._resolveConflict(key, written.current, digest, request, signal)
      if (found.kind === 'end') return found
      expect = found.expect
    }
  }

  /** Writes a claim within the request's deadline. A claim that takes effect after the deadline is released. */
  private async _writeClaim (key: string, record: ClaimRecord, expect: Expectation, request: CallerRequest, signal: AbortSignal): Promise<ClaimWriteResult> {
    const stop = new AbortController()
    const write = { key, value: encodeClaim(record), nonce: record.nonce, expect, expiresAt: request.deadlineAt + LATE_CLAIM_WAIT_MS, signal: stop.signal }
    const written = this._dependencies.writer.submit(write)
    const timeout = waitUntil(request.deadlineAt, signal)
    const decided = await Promise.race([written, timeout.reached])
    timeout.clear()
    if (decided !== undefined) return decided
    stop.abort()
    void written.then(late => {
      if (late.kind === 'ok') this._writeClaimState({ key, record, modRevision: late.modRevision }, ClaimState.released)
    })
    return { kind: 'unavailable', isAmbiguous: true }
  }

  /**
   * Decides how a request proceeds when an earlier request has claimed the same key: it ends with an outcome that depends on the earlier
   * request, or it claims the key anew. While the earlier request has not ended, its claim is read again after each of the poll delays.
   */
  private async _resolveConflict (key: string, first: StoredValue, digest: string, request: CallerRequest, signal: AbortSignal): Promise<{ kind: 'claim', expect: Expectation } | { kind: 'end', outcome: Outcome }> {
    let current: StoredValue = first
    for (const delayMs of [0, ...POLL_DELAYS_MS]) {
      if (delayMs > 0) {
        const delay = waitUntil(Math.min(request.deadlineAt, performance.now() + delayMs), signal)
        await delay.reached
        if (signal.aborted || performance.now() >= request.deadlineAt) break
        const read = await this._dependencies.store.get(key)
        if (read.kind !== 'ok') continue
        if (read.value === undefined) return { kind: 'claim', expect: { kind: 'absent' } }
        current = read.value
      }
      const decision = decideClaim(decodeClaim(current.value), digest)
      if (decision.kind === 'reclaim') return { kind: 'claim', expect: { kind: 'revision', modRevision: current.modRevision } }
      if (decision.kind === 'replay') return endWithOutcome(makeAnswered(decision.answer, true))
      if (decision.kind === 'notKept') return endWithOutcome(makeUnknown(UnknownReason.answerNotKept, 'the request with this key was answered before; its answer was too large to keep'))
      if (decision.kind === 'keyReused') return endWithOutcome(makeNotRun(NotRunReason.keyReused, 'this idempotency key belongs to a request with another method, path or body; use a new key'))
    }
    return endWithOutcome(makeUnknown(UnknownReason.alreadyClaimed, 'an earlier request with this key may have run or may still run; repeat with the same key to learn its end'))
  }

  private _recordOutcome (claim: Claim, outcome: Outcome): void {
    const mayKeepAnswer = this._dependencies.writer.bytes < MAX_PENDING_BYTES
    if (outcome.kind === 'answered') this._writeClaimState(claim, ClaimState.answered, mayKeepAnswer ? selectKeptAnswer(outcome.answer) : undefined)
    if (outcome.kind === 'notRun') this._writeClaimState(claim, ClaimState.released)
  }

  private _writeClaimState (claim: Claim, state: ClaimState, answer?: Answer): void {
    const { requestId, digest } = claim.record
    const record: ClaimRecord = { requestId, digest, nonce: randomUUID(), state, ...(answer === undefined ? {} : { answer }) }
    const write = {
      key: claim.key,
      value: encodeClaim(record),
      nonce: record.nonce,
      expect: { kind: 'revision', modRevision: claim.modRevision } as const,
      expiresAt: performance.now() + RECORD_TIMEOUT_MS
    }
    const saved = this._dependencies.writer.submit(write).then(() => { this._pendingRecords.delete(saved) })
    this._pendingRecords.add(saved)
  }
}

/**
 * Returns the store key of the claim on an idempotency key. The caller's name is hashed into the store key, so callers of one organisation
 * don't share idempotency keys.
 */
export function makeClaimKey (prefix: string, request: CallerRequest, idempotencyKey: string): string {
  const hash = createHash('sha256').update(`${request.caller}\n${idempotencyKey}`).digest('base64url')
  return `${prefix}/claims/${request.organisation}/${hash}`
}

function computeRequestDigest (request: CallerRequest): string {
  return createHash('sha256').update(`${request.method} ${request.path}\n`).update(request.body).digest('base64url')
}

function makeClaimFailure (written: ClaimWriteResult, signal: AbortSignal): Outcome {
  if (signal.aborted) return makeNotRun(NotRunReason.cancelled, 'the caller went before the request was sent')
  if (written.kind === 'overloaded') return makeNotRun(NotRunReason.overloaded, 'too many requests wait for a claim on their idempotency key', STORE_RETRY_AFTER_MS)
  return makeNotRun(NotRunReason.storeUnavailable, 'the idempotency key could not be claimed within the deadline; repeat with the same key', STORE_RETRY_AFTER_MS)
}

function endWithOutcome (outcome: Outcome): { kind: 'end', outcome: Outcome } {
  return { kind: 'end', outcome }
}

/**
 * Waits until a time of the monotonic clock, in milliseconds: `reached` resolves then or when the signal aborts, whichever is first, and
 * `clear` stops the timer without resolving.
 */
function waitUntil (at: number, signal: AbortSignal): { reached: Promise<undefined>, clear: () => void } {
  let clear = (): void => {}
  const reached = new Promise<undefined>(resolve => {
    const onEnd = (): void => {
      clear()
      resolve(undefined)
    }
    const timer = setTimeout(onEnd, Math.max(0, at - performance.now()))
    clear = () => {
      clearTimeout(timer)
      signal.removeEventListener('abort', onEnd)
    }
    signal.addEventListener('abort', onEnd, { once: true })
    if (signal.aborted) onEnd()
  })
  return { reached, clear }
}
