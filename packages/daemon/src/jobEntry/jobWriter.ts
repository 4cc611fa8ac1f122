/**
 * Writes what clients ask for to the store: new jobs, cancellation requests, and the fences that keep late submissions of a cancelled job out. Each write is conditional, and is
 * retried until its outcome is known or the time of the call is over.
 */
import type { Ambiguous, Rejected, Store, StoredValue, TransactOutcome, TransactResult, Transaction, Unavailable } from '@dragonflylever/adapters'
import { JobPhase } from '@dragonflylever/core/graphs/index'
import type { JobGraph } from '@dragonflylever/core/graphs/index'
import type { Metrics } from '@dragonflylever/runtime'

import { createQueuedJobState } from '../jobPlanner/graphKeys.js'
import type { GraphKeys, JobStateRecord } from '../jobPlanner/graphKeys.js'
import { encodeJobSpec } from '../jobPlanner/jobSpecRecord.js'
import { ANSWER_MARGIN_MS, makeWaitOptions } from './callTimes.js'
import type { CallTimes } from './callTimes.js'
import { encodeFence, isCancelledBy, listOrganisations } from './submissionFence.js'

/** Dependencies of {@link JobWriter}. */
export interface JobWriterDependencies {
  readonly store: Store
  readonly keys: GraphKeys
  readonly metrics: Metrics
}

/** Outcome of a submission. `known`: the job was stored before, with the state as it is now, if the store holds one. */
export type StoreJobOutcome =
  | { readonly kind: 'stored', readonly state: JobStateRecord }
  | { readonly kind: 'known', readonly state: StoredValue | undefined }
  | Rejected
  | Unavailable
  | Ambiguous

/** Outcome of writing the fence of a job that is not stored. `fenced`: no earlier submission of the job can take effect any more; `stored`: one of them has. */
export type FenceJobOutcome =
  | { readonly kind: 'fenced' }
  | { readonly kind: 'stored', readonly state: StoredValue }
  | Rejected
  | Unavailable
  | Ambiguous

interface RetryOptions {
  /** Up to when an ambiguous write is retried, in milliseconds of the monotonic clock; `retryUntil` of the call if absent. */
  readonly retryUntil?: number
  readonly wasUndecided?: boolean
}

const RETRY_MS = 50
/** How long before the answer is due the last attempt of a write is made that must be decided, in milliseconds; a slow store answers within 400 ms, most within 10. */
const LAST_ATTEMPT_MS = 300
/** Number of times that a write is adapted to a fence that has changed. A fence changes once for each organisation that cancels the job, and when a submission is settled. */
const MAX_FENCE_CHANGES = 4

export class JobWriter {
  private readonly _dependencies: JobWriterDependencies

  constructor (dependencies: JobWriterDependencies) {
    this._dependencies = dependencies
  }

  /**
   * Stores a new job. A job whose organisation has cancelled it before it was stored is stored as cancelled, without a spec, so that it never runs. `wasUndecided`: an earlier
   * submission was left undecided; the retries then go on until the deadline, as another undecided answer would not help the client.
   */
  async storeJob (times: CallTimes, graph: JobGraph, wasUndecided: boolean): Promise<StoreJobOutcome> {
    const { keys } = this._dependencies
    const [specKey, stateKey, fenceKey] = [keys.getSpecKey(graph.id), keys.getStateKey(graph.id), keys.getFenceKey(graph.id)]
    let fence: StoredValue | undefined
    for (let changes = 0; changes <= MAX_FENCE_CHANGES; changes++) {
      const isCancelled = isCancelledBy(fence, graph.organisation)
      const state = { ...createQueuedJobState(graph), ...(isCancelled ? { phase: JobPhase.cancelled } : {}) }
      const outcome = await this._transactUntilDecided(times, {
        expect: [{ key: specKey, modRevision: 0 }, { key: stateKey, modRevision: 0 }, { key: fenceKey, modRevision: fence?.modRevision ?? 0 }],
        // The fence is written again beside a state, as both are removed a time after its last change.
        puts: [{ key: stateKey, value: JSON.stringify(state) }, isCancelled ? { key: fenceKey, value: fence?.value ?? '' } : { key: specKey, value: encodeJobSpec(graph) }],
        removes: []
      }, wasUndecided ? { wasUndecided, retryUntil: times.answerUntil } : {})
      if (outcome.kind === 'ok') return { kind: 'stored', state }
      if (outcome.kind !== 'conflict') return outcome
      const found = outcome.current.find(({ key }) => key === fenceKey)
      const isStored = outcome.current.some(({ key }) => key === specKey || key === stateKey)
      if (isStored) return { kind: 'known', state: outcome.current.find(({ key }) => key === stateKey) }
      if (found?.modRevision === fence?.modRevision) return { kind: 'ambiguous', message: 'the store reported a conflict without its cause' }
      fence = found
    }
    return { kind: 'ambiguous', message: 'the job is being cancelled again and again' }
  }

  /** Stores a cancellation request for a stored job. */
  cancelJob (times: CallTimes, jobId: string): Promise<TransactOutcome> {
    const key = this._dependencies.keys.getCancelKey(jobId)
    return this._transactUntilDecided(times, { expect: [{ key, modRevision: 0 }], puts: [{ key, value: '1' }], removes: [] })
  }

  /**
   * Cancels a job of an organisation that is not stored: writes the job's fence, so that submissions that are on their way to the store fail there. Retried until the deadline, since a
   * client that can't tell whether its job was cancelled can't do anything else.
   */
  withdrawJob (times: CallTimes, jobId: string, organisation: string): Promise<FenceJobOutcome> {
    return this._writeFence(jobId, organisation, transaction => this._transactByDeadline(times, transaction))
  }

  /** Makes one attempt to find out whether a job is stored, and writes its fence again if it isn't, so that submissions that are on their way to the store fail there. */
  settleJob (jobId: string): Promise<FenceJobOutcome> {
    return this._writeFence(jobId, undefined, transaction => this._dependencies.store.transact(transaction))
  }

  /** Writes the fence of a job unless the job is stored, or the fence already names the organisation that cancels the job, if there is one. */
  private async _writeFence (jobId: string, organisation: string | undefined, transact: (transaction: Transaction) => Promise<TransactOutcome>): Promise<FenceJobOutcome> {
    const { keys } = this._dependencies
    const [stateKey, fenceKey] = [keys.getStateKey(jobId), keys.getFenceKey(jobId)]
    let fence: StoredValue | undefined
    for (let changes = 0; changes <= MAX_FENCE_CHANGES; changes++) {
      const cancelledBy = listOrganisations(fence)
      const outcome = await transact({
        expect: [{ key: stateKey, modRevision: 0 }, { key: fenceKey, modRevision: fence?.modRevision ?? 0 }],
        puts: [{ key: fenceKey, value: encodeFence(organisation === undefined ? cancelledBy : [...cancelledBy, organisation]) }],
        removes: []
      })
      if (outcome.kind === 'ok') return { kind: 'fenced' }
      if (outcome.kind !== 'conflict') return outcome
      const state = outcome.current.find(({ key }) => key === stateKey)
      if (state !== undefined) return { kind: 'stored', state }
      fence = outcome.current.find(({ key }) => key === fenceKey)
      if (organisation !== undefined && listOrganisations(fence).includes(organisation)) return { kind: 'fenced' }
    }
    return { kind: 'ambiguous', message: 'the fence of the job is being changed again and again' }
  }

  /** Retries a conditional write until the deadline. One more attempt is made shortly before it, beside an attempt that may still wait for a lost answer then. */
  private async _transactByDeadline (times: CallTimes, transaction: Transaction): Promise<TransactOutcome> {
    let timer: NodeJS.Timeout | undefined
    const last = new Promise<TransactOutcome>(resolve => {
      timer = setTimeout(() => {
        void this._dependencies.store.transact(transaction, makeWaitOptions(times.answerUntil, times.answerUntil)).then(outcome => { if (isDecided(outcome)) resolve(outcome) })
      }, Math.max(0, times.answerUntil - LAST_ATTEMPT_MS - performance.now()))
    })
    const outcome = await Promise.race([this._transactUntilDecided(times, transaction, { retryUntil: times.answerUntil }), last])
    clearTimeout(timer)
    return outcome
  }

  /**
   * Retries a conditional write until its outcome is known or the time for retries is over. If the store is unavailable, the write is
   * retried for a short time only, unless an attempt was ambiguous: nothing was stored, and the call can be refused. Ambiguous writes are retried until `retryUntil`.
   * `wasUndecided`: an earlier call left the write undecided, so that a refusal would be untrue.
   */
  private async _transactUntilDecided (times: CallTimes, transaction: Transaction, { retryUntil = times.retryUntil, wasUndecided = false }: RetryOptions = {}): Promise<TransactOutcome> {
    let isAmbiguous = wasUndecided
    for (;;) {
      const attempt = this._dependencies.store.transact(transaction, makeWaitOptions(isAmbiguous ? retryUntil : times.outageUntil, retryUntil))
      const outcome = await this._waitForOutcome(attempt, times.answerUntil)
      if (isDecided(outcome)) return outcome
      if (outcome.kind === 'ambiguous') isAmbiguous = true
      this._dependencies.metrics.count('store_retries')
      const isOver = performance.now() + RETRY_MS > (isAmbiguous ? retryUntil : times.outageUntil)
      if (isOver) return isAmbiguous ? { kind: 'ambiguous', message: outcome.message } : outcome
      await new Promise(resolve => setTimeout(resolve, RETRY_MS))
    }
  }

  /**
   * Waits for an attempt until `until` at the longest, so that the client still gets an answer; its outcome is not known then. A client with hardly any time still gets the answer of a store
   * that is quick.
   */
  private async _waitForOutcome (attempt: Promise<TransactOutcome>, until: number): Promise<TransactOutcome> {
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<TransactOutcome>(resolve => {
      timer = setTimeout(() => resolve({ kind: 'ambiguous', message: 'the store did not answer before the deadline of the call' }), Math.max(ANSWER_MARGIN_MS, until - performance.now()))
    })
    const outcome = await Promise.race([attempt, timeout])
    clearTimeout(timer)
    return outcome
  }
}

function isDecided (outcome: TransactOutcome): outcome is TransactResult | Rejected {
  return outcome.kind === 'ok' || outcome.kind === 'conflict' || outcome.kind === 'rejected'
}
