/**
 * The direct path of a process to the store, and whether the store serves the process over it. While the path fails, it is probed at intervals, so that no
 * caller's call has to be the probe.
 */
import type { HttpCall, HttpCaller, HttpOutcome, Logger } from '@dragonflylever/runtime'

/** Time between the starts of two probes while the path fails, unless its owner sets another, in milliseconds. */
const DEFAULT_PROBE_INTERVAL_MS = 500
const PROBE_TIMEOUT_MS = 500
/** Statuses with which the store rejects a call without carrying it out. */
const REJECTION_STATUSES = new Set([429, 503])

/** Dependencies of {@link DirectPath}. */
export interface DirectPathDependencies {
  readonly caller: HttpCaller
  /** A read without effect that the store answers at once. */
  readonly probe: Pick<HttpCall, 'address' | 'path'>
  /** Time between the starts of two probes while the path fails, in milliseconds. A probe is sent also while the one before is unanswered. */
  readonly probeIntervalMs?: number
  /** Called when the store serves this path again, with the duration of the call that showed it, in milliseconds. */
  readonly onServedAgain?: (elapsedMs: number) => void
  readonly logger: Logger
}

/** True if the store processed the call, also if it did so with a negative answer. */
export function isServed (outcome: HttpOutcome): boolean {
  return outcome.kind === 'answered' && !REJECTION_STATUSES.has(outcome.status)
}

export class DirectPath implements HttpCaller {
  private readonly _dependencies: DirectPathDependencies
  private readonly _longPolls = new Set<AbortController>()
  /** When the latest call that the store served was sent. A call that was sent earlier says nothing about the path any more when it fails. */
  private _servedCallAt = -Infinity
  private _isFailing = false
  private _isClosed = false
  private _timer: NodeJS.Timeout | undefined

  constructor (dependencies: DirectPathDependencies) {
    this._dependencies = dependencies
  }

  /** A read without effect that the store answers at once. */
  get probe (): DirectPathDependencies['probe'] {
    return this._dependencies.probe
  }

  /** True from the first call that the store did not serve until a call or probe is served again. */
  get isFailing (): boolean {
    return this._isFailing
  }

  /** Calls the store directly. A long poll ends with `lost` as soon as a probe gets no answer. */
  async call (call: HttpCall): Promise<HttpOutcome> {
    const startedAt = performance.now()
    const outcome = await (call.isLongPoll === true ? this._callLongPoll(call) : this._dependencies.caller.call(call))
    if (call.signal?.aborted !== true) this._recordOutcome(outcome, startedAt)
    return outcome
  }

  close (): void {
    this._isClosed = true
    clearTimeout(this._timer)
    this._dependencies.caller.close()
  }

  private async _callLongPoll (call: HttpCall): Promise<HttpOutcome> {
    const abort = new AbortController()
    const onAbort = (): void => abort.abort()
    call.signal?.addEventListener('abort', onAbort, { once: true })
    if (call.signal?.aborted === true) abort.abort()
    this._longPolls.add(abort)
    const outcome = await this._dependencies.caller.call({
      ...call,
      signal: abort.signal,
      // A poll whose answer is arriving is not dead, even if a probe beside it gets no answer.
      onPart: (part, status) => {
        this._longPolls.delete(abort)
        call.onPart?.(part, status)
      }
    })
    this._longPolls.delete(abort)
    call.signal?.removeEventListener('abort', onAbort)
    return outcome
  }

  private _recordOutcome (outcome: HttpOutcome, startedAt: number): void {
    const isFailing = !isServed(outcome)
    if (!isFailing) this._servedCallAt = Math.max(this._servedCallAt, startedAt)
    else if (startedAt < this._servedCallAt) return
    if (this._isFailing === isFailing) return
    this._isFailing = isFailing
    const { logger, onServedAgain } = this._dependencies
    clearTimeout(this._timer)
    if (isFailing) {
      logger.warn({ outcome: outcome.kind === 'answered' ? outcome.status : outcome.message }, 'cannot reach the store directly; relaying calls through agents')
      return this._startProbe()
    }
    logger.info({}, 'store is directly reachable again')
    onServedAgain?.(performance.now() - startedAt)
  }

  /** Probes the store at intervals until it serves a probe. */
  private _startProbe (): void {
    if (this._isClosed || !this._isFailing) return
    this._timer = setTimeout(() => this._startProbe(), this._dependencies.probeIntervalMs ?? DEFAULT_PROBE_INTERVAL_MS).unref()
    void this._sendProbe()
  }

  /** Probes the store once. Without an answer, the long polls that wait for one are taken for dead, too. */
  private async _sendProbe (): Promise<void> {
    const startedAt = performance.now()
    const outcome = await this._dependencies.caller.call({ ...this._dependencies.probe, method: 'GET', timeoutMs: PROBE_TIMEOUT_MS })
    if (this._isClosed || !this._isFailing) return
    if (outcome.kind !== 'answered') for (const abort of this._longPolls) abort.abort()
    this._recordOutcome(outcome, startedAt)
  }
}
