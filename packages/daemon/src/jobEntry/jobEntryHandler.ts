/**
 * Handles clients' calls for jobs. A job is accepted once it is stored, and a refused job never runs. If it is not known in
 * time whether the store carried out a write, the answer is `undecided`.
 */
import { TokenBucket } from '@dragonflylever/adapters'
import type { Ambiguous, Store, StoredValue, Rejected, Unavailable } from '@dragonflylever/adapters'
import type { Random } from '@dragonflylever/core'
import { computeOutageRetryAfter, countTasks } from '@dragonflylever/core/graphs/index'
import type { JobGraph, JobPhase, PolicyIndex, RoutedQueue, StepSpec } from '@dragonflylever/core/graphs/index'
import type { Logger, Metrics } from '@dragonflylever/runtime'

import { decodeJobState } from '../jobPlanner/graphKeys.js'
import type { GraphKeys, JobStateRecord } from '../jobPlanner/graphKeys.js'
import { computeCallTimes, makeWaitOptions } from './callTimes.js'
import type { CallTimes } from './callTimes.js'
import type { JobAdmission } from './jobAdmission.js'
import type { JobStates } from './jobStates.js'
import { JobWriter } from './jobWriter.js'

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
  /** The declarations known here have no such queue or key, and may be older than the bound, so that it may be there by now. */
  outdated: 'outdated',
  invalid: 'invalid',
  storeAway: 'storeAway',
  /** The job would be worth nothing, since it would start too late. */
  tooLate: 'tooLate',
  /** This process holds as much for clients as it may, or has written as many fences as it may; the call had no effect. */
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
  /** True while the declarations may be older than the time within which a change must be in force; never when absent. */
  readonly isOutdated?: () => boolean
}

const JOB_ID = /^[0-9a-f]{16}$/
const STORE_RETRY_MS = 50
/**
 * How long an unanswered write counts as undecided after its last attempt, in milliseconds: the store may carry it out seconds later. During
 * this time the job is not refused as `storeAway`, which would tell the client that it never runs.
 */
const UNDECIDED_RETENTION_MS = 15_000
/** Delay after which clients should retry if the declarations are not loaded, in milliseconds; loading takes seconds after a start. */
const NOT_READY_RETRY_AFTER_MS = 1_000
/** Delay after which clients should retry if the declarations may be outdated, in milliseconds; another entry may know the current ones at once. */
const OUTDATED_RETRY_AFTER_MS = 1_000
/** Limits how many fences this process writes for cancellations: clients may cancel any number of jobs that don't exist, and each fence is a write that submissions lack. */
const FENCE_RATE = { ratePerS: 2, burst: 20 } as const
const FENCE_RETRY_AFTER_MS = 2_000
/** Delay of each attempt to settle a job that was left undecided, in milliseconds. The store carries unanswered writes out a second later at the earliest. */
const SETTLE_INTERVAL_MS = 300
/** Limits these attempts, apart from cancellations: after an outage there may be many such jobs, which would use up what cancellations may write. */
const SETTLE_RATE = { ratePerS: 5, burst: 20 } as const

type Admission =
  | { readonly kind: 'admitted', readonly queue: RoutedQueue, readonly organisation: string, readonly rest: string }
  | Extract<JobEntryAnswer, { kind: 'refused' }>

export class JobEntryHandler {
  private readonly _dependencies: JobEntryHandlerDependencies
  /** Until when the write of a job may still take effect without this process knowing, on the monotonic clock, by job id. */
  private readonly _undecidedUntil = new Map<string, number>()
  /** Answers to the submissions that are being stored, by job id. */
  private readonly _pendingSubmissions = new Map<string, Promise<JobEntryAnswer>>()
  /** Jobs that are being withdrawn, with the number of calls. */
  private readonly _withdrawing = new Map<string, number>()
  /** Jobs that {@link _settleJob} tries to settle. */
  private readonly _settling = new Set<string>()
  private readonly _writer: JobWriter
  private readonly _fenceBucket = new TokenBucket(FENCE_RATE, performance.now())
  private readonly _settleBucket = new TokenBucket(SETTLE_RATE, performance.now())

  constructor (dependencies: JobEntryHandlerDependencies) {
    this._dependencies = dependencies
    this._writer = new JobWriter(dependencies)
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
    if (queue === undefined) return this._refuseUnknown(Refusal.unknownQueue, `no queue takes ${call.host}${call.path}`)
    const checked = index.checkKey(queue, call.key)
    if (checked.kind === 'unknown') return this._refuseUnknown(Refusal.unknownKey, 'the key belongs to no organisation')
    return { kind: 'admitted', queue, organisation: checked.kind === 'organisation' ? checked.name : '', rest: call.path.slice(queue.prefix.length) }
  }

  /** Refuses a call for a queue or key that the declarations don't have. Clients take that for final, so it isn't said by declarations that may be outdated. */
  private _refuseUnknown (reason: Refusal, message: string): Extract<JobEntryAnswer, { kind: 'refused' }> {
    return this._dependencies.isOutdated?.() === true ? makeRefusal(Refusal.outdated, `${message}, by declarations that may be outdated`, OUTDATED_RETRY_AFTER_MS) : makeRefusal(reason, message)
  }

  /** Stores a new job. Idempotent by job id: a second submission with the same id is accepted without effect, whatever its content. */
  async submit (call: JobEntryCall, draft: JobDraft): Promise<JobEntryAnswer> {
    const admission = this.admit(call)
    if (admission.kind !== 'admitted') return admission
    const { queue, organisation, rest: id } = admission
    if (!JOB_ID.test(id)) return makeRefusal(Refusal.invalid, 'a job id has 16 hexadecimal digits')
    if (this._dependencies.states.get(id) !== undefined) return { kind: 'accepted' }
    const graph = makeGraph(id, organisation, queue, draft)
    const answer = await this._submitOnce(computeCallTimes(call.deadlineAt, queue), graph)
    this._dependencies.logger.info({ job: id, queue: queue.name, organisation, version: this._dependencies.getPolicy()?.policy.version, tasks: countTasks(draft.steps), answer }, 'submission answered')
    return answer
  }

  /** Returns the state of a job, or the number of waiting jobs of a queue if the call names no job. */
  async getState (call: JobEntryCall): Promise<JobEntryAnswer> {
    const admission = this.admit(call)
    if (admission.kind !== 'admitted') return admission
    if (admission.rest === '') return { kind: 'waiting', count: this._dependencies.states.countWaiting(admission.queue.name) }
    const answer = await this._findState(computeCallTimes(call.deadlineAt, admission.queue), admission.rest, admission.organisation)
    if (answer.kind === 'noSuchJob' && this._isUndecided(admission.rest)) return { kind: 'undecided', message: 'a submission of the job may still take effect' }
    return answer
  }

  /**
   * Cancels a job; has no effect on a job that has ended. The answer `noSuchJob` means that the job does not exist and that no submission of it that was sent before takes effect.
   */
  async cancel (call: JobEntryCall): Promise<JobEntryAnswer> {
    const admission = this.admit(call)
    if (admission.kind !== 'admitted') return admission
    const times = computeCallTimes(call.deadlineAt, admission.queue)
    const state = await this._findState(times, admission.rest, admission.organisation)
    const found = state.kind === 'noSuchJob' && JOB_ID.test(admission.rest) ? await this._withdrawJob(times, admission.rest, admission.organisation) : state
    const answer = found.kind === 'state' ? await this._cancelStoredJob(times, admission.rest) : found
    this._dependencies.logger.info({ job: admission.rest, organisation: admission.organisation, found, answer }, 'cancellation answered')
    return answer
  }

  /** Returns `noSuchJob` once no earlier submission of a job can be stored any more, or the state of the job if it has been stored meanwhile. */
  private async _withdrawJob (times: CallTimes, jobId: string, organisation: string): Promise<JobEntryAnswer> {
    if (!this._fenceBucket.tryTake(performance.now())) return makeRefusal(Refusal.overloaded, 'too many cancellations of unknown jobs; the job was not cancelled', FENCE_RETRY_AFTER_MS)
    this._withdrawing.set(jobId, (this._withdrawing.get(jobId) ?? 0) + 1)
    const outcome = await this._writer.withdrawJob(times, jobId, organisation)
    const others = (this._withdrawing.get(jobId) ?? 1) - 1
    if (others > 0) this._withdrawing.set(jobId, others)
    else this._withdrawing.delete(jobId)
    if (outcome.kind === 'stored') return this._answerStoredState(jobId, organisation, outcome.state)
    if (outcome.kind !== 'fenced') return this._makeUndecidedAnswer(outcome)
    this._undecidedUntil.delete(jobId)
    return { kind: 'noSuchJob' }
  }

  private async _cancelStoredJob (times: CallTimes, jobId: string): Promise<JobEntryAnswer> {
    const outcome = await this._writer.cancelJob(times, jobId)
    return outcome.kind === 'ok' || outcome.kind === 'conflict' ? { kind: 'accepted' } : this._makeUndecidedAnswer(outcome)
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
    const outcome = await this._writer.storeJob(times, graph, this._isUndecided(graph.id))
    if (outcome.kind === 'stored') this._dependencies.states.recordState(graph.id, outcome.state)
    if (outcome.kind === 'known') this._recordCurrentState(graph.id, outcome.state)
    // A known job was stored either by an attempt whose answer was lost or by an earlier call. In both cases it is the same job.
    if (outcome.kind === 'stored' || outcome.kind === 'known') {
      this._undecidedUntil.delete(graph.id)
      return { kind: 'accepted' }
    }
    if (outcome.kind === 'ambiguous') {
      this._recordUndecided(graph.id)
      void this._settleJob(graph.id)
    }
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

  /**
   * Makes a submission that was left undecided fail in the store unless it has been carried out. Another entry, to which its client turns, knows nothing of it and may refuse the job, which tells the
   * client that it never runs.
   */
  private async _settleJob (jobId: string): Promise<void> {
    if (this._settling.has(jobId)) return
    this._settling.add(jobId)
    while (this._isUndecided(jobId)) {
      await new Promise(resolve => { setTimeout(resolve, SETTLE_INTERVAL_MS).unref() })
      const until = this._undecidedUntil.get(jobId)
      // A call that is storing or withdrawing the job decides it itself.
      if (this._pendingSubmissions.has(jobId) || this._withdrawing.has(jobId) || !this._settleBucket.tryTake(performance.now())) continue
      const outcome = await this._writer.settleJob(jobId)
      if (outcome.kind !== 'fenced' && outcome.kind !== 'stored') continue
      if (outcome.kind === 'stored') this._recordCurrentState(jobId, outcome.state)
      this._dependencies.logger.info({ job: jobId, isStored: outcome.kind === 'stored' }, 'undecided submission settled')
      if (this._undecidedUntil.get(jobId) === until && !this._pendingSubmissions.has(jobId)) this._undecidedUntil.delete(jobId)
    }
    this._settling.delete(jobId)
  }

  /** True if an earlier write of the job was not answered and may still be carried out by the store. */
  private _isUndecided (jobId: string): boolean {
    return (this._undecidedUntil.get(jobId) ?? -Infinity) > performance.now()
  }

  private async _findState (times: CallTimes, jobId: string, organisation: string): Promise<JobEntryAnswer> {
    const known = this._dependencies.states.get(jobId)
    if (known !== undefined) return makeStateAnswer(known, organisation)
    // No job has such an id; the store could reject the key, which would look like an outage.
    return JOB_ID.test(jobId) ? this._readState(times, jobId, organisation) : { kind: 'noSuchJob' }
  }

  private async _readState (times: CallTimes, jobId: string, organisation: string): Promise<JobEntryAnswer> {
    for (;;) {
      const outcome = await this._dependencies.store.get(this._dependencies.keys.getStateKey(jobId), makeWaitOptions(times.outageUntil, times.retryUntil))
      if (outcome.kind === 'ok') {
        return outcome.value === undefined ? { kind: 'noSuchJob' } : this._answerStoredState(jobId, organisation, outcome.value)
      }
      if (performance.now() + STORE_RETRY_MS > times.outageUntil) return this._refuseForOutage(outcome, 'the state is not known here and the store does not answer: ')
      await new Promise(resolve => setTimeout(resolve, STORE_RETRY_MS))
    }
  }

  private _answerStoredState (jobId: string, organisation: string, stored: StoredValue): JobEntryAnswer {
    const state = decodeJobState(stored.value)
    if (state === undefined) return makeRefusal(Refusal.unreadable, `the stored state of the job can't be read; its revision is ${stored.modRevision}`)
    this._dependencies.states.recordState(jobId, state)
    return makeStateAnswer(state, organisation)
  }

  private _makeUndecidedAnswer (outcome: Rejected | Unavailable | Ambiguous): JobEntryAnswer {
    if (outcome.kind === 'rejected') return makeRefusal(Refusal.invalid, `the store refuses what would be stored: ${outcome.message}`)
    return outcome.kind === 'unavailable' ? this._refuseForOutage(outcome) : { kind: 'undecided', message: outcome.message }
  }

  private _refuseForOutage (outcome: Unavailable, prefix = ''): JobEntryAnswer {
    return makeRefusal(Refusal.storeAway, prefix + outcome.message, computeOutageRetryAfter(outcome.outageMs ?? 0, this._dependencies.random.sample()))
  }
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
