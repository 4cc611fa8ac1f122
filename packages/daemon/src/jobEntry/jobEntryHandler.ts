/**
 * Handles clients' calls for jobs. A job is accepted once it is stored, and a refused job never runs. If it is not known in
 * time whether the store carried out a write, the answer is `undecided`.
 */
import type { Store, StoredValue, TransactOutcome, Transaction, Unavailable, WaitOptions } from '@dragonflylever/adapters'
import type { Random } from '@dragonflylever/core'
import { computeOutageRetryAfter, countTasks } from '@dragonflylever/core/graphs/index'
import type { JobGraph, JobPhase, PolicyIndex, RoutedQueue, StepSpec } from '@dragonflylever/core/graphs/index'
import type { Logger, Metrics } from '@dragonflylever/runtime'

import { createQueuedJobState, decodeJobState } from '../jobPlanner/graphKeys.js'
import type { GraphKeys, JobStateRecord } from '../jobPlanner/graphKeys.js'
import type { JobAdmission } from './jobAdmission.js'
import type { JobStates } from './jobStates.js'

/** A job as submitted by a client. */
export interface JobDraft {
  readonly payload: string
  readonly steps: readonly StepSpec[]
  readonly repeat: JobGraph['repeat']
}

/** A client's call to submit, show or cancel a job, reduced to what the handler needs. */
export interface JobEntryCall {
  readonly host: string
  readonly path: string
  readonly key: string | undefined
  /** Time up to which the client waits for the answer, in milliseconds of the monotonic clock. */
  readonly deadlineAt: number
}

/** Reasons for refusing a call; a refused call has stored nothing. */
export const Refusal = {
  /** This process has not loaded the declarations yet. */
  notReady: 'notReady',
  unknownKey: 'unknownKey',
  unknownQueue: 'unknownQueue',
  invalid: 'invalid',
  storeAway: 'storeAway',
  /** The job would be worth nothing, since it would start too late. */
  tooLate: 'tooLate',
  /** This process holds as much for clients as it may; the call was not read as a whole. */
  overloaded: 'overloaded',
  /** The stored state of the job can't be read, so nothing can be said of the job. */
  unreadable: 'unreadable'
} as const
export type Refusal = typeof Refusal[keyof typeof Refusal]

/** Answer to a client's call. */
export type JobEntryAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'state', readonly phase: JobPhase }
  | { readonly kind: 'waiting', readonly count: number }
  | { readonly kind: 'noSuchJob' }
  | { readonly kind: 'refused', readonly reason: Refusal, readonly message: string, readonly retryAfterMs: number }
  /** The store did not confirm in time whether the call took effect. */
  | { readonly kind: 'undecided', readonly message: string }

/** Dependencies of {@link JobEntryHandler}. */
export interface JobEntryHandlerDependencies {
  readonly store: Store
  readonly keys: GraphKeys
  readonly states: JobStates
  readonly logger: Logger
  readonly metrics: Metrics
  /** Spreads the times at which refused clients come back. */
  readonly random: Random
  /** Decides which jobs are refused because they would start too late; absent to accept all. */
  readonly admission?: JobAdmission
  readonly getPolicy: () => PolicyIndex | undefined
}

const JOB_ID = /^[0-9a-f]{16}$/
const STORE_RETRY_MS = 50
/** How long before the client's deadline the retries end, in milliseconds, so that the answer reaches the client in time. */
const ANSWER_MARGIN_MS = 150
/** Maximum time for retries of a store call, in milliseconds; after that, a client that retries at another entry succeeds sooner. */
const STORE_DECISION_MS = 900
/**
 * Maximum time for which a call waits for a store that is known to be unavailable, in milliseconds: enough for the probe that finds the store back and its answer
 * from another region. It also is at most the share {@link OUTAGE_WAIT_SHARE} of the target latency of the call's queue.
 */
const OUTAGE_WAIT_MS = 250
const OUTAGE_WAIT_SHARE = 0.25
/**
 * How long an unanswered write counts as undecided after its last attempt, in milliseconds: the store may carry it out seconds later. During
 * this time the job is not refused as `storeAway`, which would tell the client that it never runs.
 */
const UNDECIDED_RETENTION_MS = 15_000
/** Delay after which clients should retry if the declarations are not loaded, in milliseconds; loading takes seconds after a start. */
const NOT_READY_RETRY_AFTER_MS = 1_000

type Admission =
  | { readonly kind: 'admitted', readonly queue: RoutedQueue, readonly organisation: string, readonly rest: string }
  | Extract<JobEntryAnswer, { kind: 'refused' }>

export class JobEntryHandler {
  private readonly _dependencies: JobEntryHandlerDependencies
  /** Until when the write of a job may still take effect without this process knowing, on the monotonic clock, by job id. */
  private readonly _undecidedUntil = new Map<string, number>()
  /** Answers to the submissions that are being stored, by job id. */
  private readonly _pendingSubmissions = new Map<string, Promise<JobEntryAnswer>>()

  constructor (dependencies: JobEntryHandlerDependencies) {
    this._dependencies = dependencies
  }

  /** True once the declarations are loaded, so that calls can be answered. */
  get isReady (): boolean {
    return this._dependencies.getPolicy() !== undefined
  }

  /** Finds the queue of a call by host and path, and checks the API key of the call. */
  admit (call: JobEntryCall): Admission {
    const index = this._dependencies.getPolicy()
    if (index === undefined) return makeRefusal(Refusal.notReady, 'no declarations are known here yet', NOT_READY_RETRY_AFTER_MS)
    const queue = index.findQueue(call.host, call.path)
    if (queue === undefined) return makeRefusal(Refusal.unknownQueue, `no queue takes ${call.host}${call.path}`)
    const checked = index.checkKey(queue, call.key)
    if (checked.kind === 'unknown') return makeRefusal(Refusal.unknownKey, 'the key belongs to no organisation')
    return { kind: 'admitted', queue, organisation: checked.kind === 'organisation' ? checked.name : '', rest: call.path.slice(queue.prefix.length) }
  }

  /** Stores a new job. Idempotent by job id: a second submission with the same id is accepted without effect, whatever its content. */
  async submit (call: JobEntryCall, draft: JobDraft): Promise<JobEntryAnswer> {
    const admission = this.admit(call)
    if (admission.kind !== 'admitted') return admission
    const { queue, organisation, rest: id } = admission
    if (!JOB_ID.test(id)) return makeRefusal(Refusal.invalid, 'a job id has 16 hexadecimal digits')
    if (this._dependencies.states.get(id) !== undefined) return { kind: 'accepted' }
    const graph = makeGraph(id, organisation, queue, draft)
    const answer = await this._submitOnce(computeCallTimes(call, queue), graph)
    this._dependencies.logger.info({ job: id, queue: queue.name, organisation, version: this._dependencies.getPolicy()?.policy.version, tasks: countTasks(draft.steps), answer }, 'submission answered')
    return answer
  }

  /** Returns the state of a job, or the number of waiting jobs of a queue if the call names no job. */
  async getState (call: JobEntryCall): Promise<JobEntryAnswer> {
    const admission = this.admit(call)
    if (admission.kind !== 'admitted') return admission
    if (admission.rest === '') return { kind: 'waiting', count: this._dependencies.states.countWaiting(admission.queue.name) }
    const known = this._dependencies.states.get(admission.rest)
    if (known !== undefined) return makeStateAnswer(known, admission.organisation)
    // No job has such an id; the store could reject the key, which would look like an outage.
    if (!JOB_ID.test(admission.rest)) return { kind: 'noSuchJob' }
    return this._readState(computeCallTimes(call, admission.queue), admission.rest, admission.organisation)
  }

  /** Cancels a job; has no effect on a job that has ended. */
  async cancel (call: JobEntryCall): Promise<JobEntryAnswer> {
    const admission = this.admit(call)
    if (admission.kind !== 'admitted') return admission
    const id = admission.rest
    const state = await this.getState(call)
    if (state.kind !== 'state') return state
    const key = this._dependencies.keys.getCancelKey(id)
    const times = computeCallTimes(call, admission.queue)
    const outcome = await this._transactUntilDecided(times, { expect: [{ key, modRevision: 0 }], puts: [{ key, value: '1' }], removes: [] })
    const answer = outcome.kind === 'ok' || outcome.kind === 'conflict' ? { kind: 'accepted' } as const : this._makeUndecidedAnswer(outcome)
    this._dependencies.logger.info({ job: id, phase: state.phase, answer }, 'cancellation answered')
    return answer
  }

  /**
   * Refuses a job that would start too late to be worth anything. One that may be stored already is not refused, as that would be untrue: an earlier call here has left its write
   * undecided, or its state is in the store.
   */
  private async _refuseIfTooLate (times: CallTimes, { id, queue, organisation, steps }: JobGraph): Promise<JobEntryAnswer | undefined> {
    const { admission, getPolicy, store, keys } = this._dependencies
    if (admission === undefined || this._isUndecided(id)) return undefined
    const guaranteedAccelerators = getPolicy()?.policy.organisations.find(({ name }) => name === organisation)?.guaranteedAccelerators ?? 0
    const decision = admission.decide({ id, queue, organisation, guaranteedAccelerators, steps })
    if (decision.kind === 'accepted') return undefined
    const stored = await store.get(keys.getStateKey(id), makeWaitOptions(times.outageUntil, times.retryUntil))
    if (stored.kind !== 'ok' || stored.value !== undefined) return undefined
    const { startMs, limitMs, retryAfterMs } = decision
    return makeRefusal(Refusal.tooLate, `the job would start in ${Math.round(startMs)} ms at the earliest, and is worth nothing after ${Math.round(limitMs)} ms`, retryAfterMs)
  }

  /**
   * Stores a job unless it is refused. While another call of this process submits the same job, waits for the answer to that one: a rejection of this call alone would tell the
   * client that the job never runs, although the other call's write may still be carried out.
   */
  private async _submitOnce (times: CallTimes, graph: JobGraph): Promise<JobEntryAnswer> {
    const pending = this._pendingSubmissions.get(graph.id)
    if (pending !== undefined) return pending
    const submission = this._refuseIfTooLate(times, graph).then(refusal => refusal ?? this._storeJob(times, graph))
    this._pendingSubmissions.set(graph.id, submission)
    try {
      return await submission
    } finally {
      this._pendingSubmissions.delete(graph.id)
    }
  }

  private async _storeJob (times: CallTimes, graph: JobGraph): Promise<JobEntryAnswer> {
    const { keys, states } = this._dependencies
    const state = createQueuedJobState(graph)
    const specKey = keys.getSpecKey(graph.id)
    const stateKey = keys.getStateKey(graph.id)
    const outcome = await this._transactUntilDecided(times, {
      expect: [{ key: specKey, modRevision: 0 }, { key: stateKey, modRevision: 0 }],
      puts: [{ key: specKey, value: JSON.stringify(graph) }, { key: stateKey, value: JSON.stringify(state) }],
      removes: []
    }, this._isUndecided(graph.id))
    if (outcome.kind === 'ok') states.recordState(graph.id, state)
    if (outcome.kind === 'conflict') this._recordCurrentState(graph.id, outcome.current.find(value => value.key === stateKey))
    // After a conflict the job id is already stored, either by an attempt whose answer was lost or by an earlier call. In both cases it is the same job.
    if (outcome.kind === 'ok' || outcome.kind === 'conflict') {
      this._undecidedUntil.delete(graph.id)
      return { kind: 'accepted' }
    }
    if (outcome.kind === 'ambiguous') this._recordUndecided(graph.id)
    return this._makeUndecidedAnswer(outcome)
  }

  private _recordCurrentState (jobId: string, stored: StoredValue | undefined): void {
    const state = stored === undefined ? undefined : decodeJobState(stored.value)
    if (state !== undefined) this._dependencies.states.recordState(jobId, state)
  }

  private _recordUndecided (jobId: string): void {
    const now = performance.now()
    for (const [id, until] of this._undecidedUntil) if (until < now) this._undecidedUntil.delete(id)
    this._undecidedUntil.set(jobId, now + UNDECIDED_RETENTION_MS)
  }

  /** True if an earlier write of the job was not answered and may still be carried out by the store. */
  private _isUndecided (jobId: string): boolean {
    return (this._undecidedUntil.get(jobId) ?? -Infinity) > performance.now()
  }

  /**
   * Retries a conditional write until its outcome is known or the time for retries is over. If the store is unavailable, the write is
   * retried for a short time only, unless an attempt was ambiguous: nothing was stored, and the call can be refused. If an earlier call left
   * the write undecided (`wasUndecided`), the retries go on until the deadline: a refusal would be untrue, and another undecided answer would
   * not help the client.
   */
  private async _transactUntilDecided (times: CallTimes, transaction: Transaction, wasUndecided = false): Promise<TransactOutcome> {
    const retryUntil = wasUndecided ? times.answerUntil : times.retryUntil
    let isAmbiguous = wasUndecided
    for (;;) {
      const outcome = await this._dependencies.store.transact(transaction, makeWaitOptions(isAmbiguous ? retryUntil : times.outageUntil, retryUntil))
      if (outcome.kind === 'ok' || outcome.kind === 'conflict') return outcome
      if (outcome.kind === 'ambiguous') isAmbiguous = true
      this._dependencies.metrics.count('store_retries')
      const isOver = performance.now() + STORE_RETRY_MS > (isAmbiguous ? retryUntil : times.outageUntil)
      if (isOver) return isAmbiguous ? { kind: 'ambiguous', message: outcome.message } : outcome
      await new Promise(resolve => setTimeout(resolve, STORE_RETRY_MS))
    }
  }

  private async _readState (times: CallTimes, jobId: string, organisation: string): Promise<JobEntryAnswer> {
    for (;;) {
      const outcome = await this._dependencies.store.get(this._dependencies.keys.getStateKey(jobId), makeWaitOptions(times.outageUntil, times.retryUntil))
      if (outcome.kind === 'ok') {
        if (outcome.value === undefined) return { kind: 'noSuchJob' }
        const state = decodeJobState(outcome.value.value)
        if (state === undefined) return makeRefusal(Refusal.unreadable, `the stored state of the job can't be read; its revision is ${outcome.value.modRevision}`)
        this._dependencies.states.recordState(jobId, state)
        return makeStateAnswer(state, organisation)
      }
      if (performance.now() + STORE_RETRY_MS > times.outageUntil) return this._refuseForOutage(outcome, 'the state is not known here and the store does not answer: ')
      await new Promise(resolve => setTimeout(resolve, STORE_RETRY_MS))
    }
  }

  private _makeUndecidedAnswer (outcome: Unavailable | { readonly kind: 'ambiguous', readonly message: string }): JobEntryAnswer {
    return outcome.kind === 'unavailable' ? this._refuseForOutage(outcome) : { kind: 'undecided', message: outcome.message }
  }

  private _refuseForOutage (outcome: Unavailable, prefix = ''): JobEntryAnswer {
    return makeRefusal(Refusal.storeAway, prefix + outcome.message, computeOutageRetryAfter(outcome.outageMs ?? 0, this._dependencies.random.sample()))
  }
}

/** Times up to which parts of a call may last, in milliseconds of the monotonic clock. */
interface CallTimes {
  /** Up to when the call waits for a store that is known to be unavailable. */
  readonly outageUntil: number
  /** Up to when the call waits for a read, and retries a write that may have been carried out. */
  readonly retryUntil: number
  /** Up to when the call must be answered so that the answer reaches the client in time. */
  readonly answerUntil: number
}

function computeCallTimes (call: JobEntryCall, queue: RoutedQueue): CallTimes {
  const now = performance.now()
  const answerUntil = call.deadlineAt - ANSWER_MARGIN_MS
  return {
    outageUntil: Math.min(answerUntil, now + Math.min(OUTAGE_WAIT_MS, queue.targetLatencyMs * OUTAGE_WAIT_SHARE)),
    retryUntil: Math.min(answerUntil, now + STORE_DECISION_MS),
    answerUntil
  }
}

function makeWaitOptions (outageUntil: number, readUntil: number): WaitOptions {
  const now = performance.now()
  return { maxOutageWaitMs: Math.max(0, outageUntil - now), maxReadWaitMs: Math.max(0, readUntil - now) }
}

function makeGraph (id: string, organisation: string, queue: RoutedQueue, draft: JobDraft): JobGraph {
  const { name, service, priority, maxAttempts, stretch, targetLatencyMs, advice } = queue
  const policy = { name, service, priority, maxAttempts, stretch, targetLatencyMs, ...(advice === undefined ? {} : { advice }) }
  return { id, organisation, queue: policy, payload: draft.payload, steps: draft.steps, ...(draft.repeat === undefined ? {} : { repeat: draft.repeat }), acceptedAt: Date.now() }
}

/**
 * Shows a job's state to a caller of an organisation, which is empty for calls without a key to an open queue. A job of another organisation is not shown, so that its id can't be
 * found out either.
 */
function makeStateAnswer (state: JobStateRecord, organisation: string): JobEntryAnswer {
  const isForeign = state.organisation !== '' && organisation !== '' && state.organisation !== organisation
  return isForeign ? { kind: 'noSuchJob' } : { kind: 'state', phase: state.phase }
}

function makeRefusal (reason: Refusal, message: string, retryAfterMs = 0): Extract<JobEntryAnswer, { kind: 'refused' }> {
  return { kind: 'refused', reason, message, retryAfterMs }
}
