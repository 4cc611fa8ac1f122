/**
 * Watches the operators' requests to evacuate failure domains, and knows how old this knowledge is. A request is a store key that is present until the
 * request is withdrawn.
 */
import { PrefixWatcher } from '@dragonflylever/adapters'
import type { CallStart, Store, StoredValue, WatchEvent } from '@dragonflylever/adapters'
import { measureAge, readClocks } from '@dragonflylever/runtime'
import type { Logger, Metrics } from '@dragonflylever/runtime'

import { computeEvacuationTimes } from './evacuationTimes.js'
import type { EvacuationTimes } from './evacuationTimes.js'

/** Where the requests are stored, and how soon they must be in force. */
export interface EvacuationSettings {
  /** Prefix of the store keys of the requests. */
  readonly prefix: string
  /** Returns the failure domain of the request at a key; undefined if the key is that of no request. */
  readonly decodeKey: (key: string) => string | undefined
  /** Time after the store has acknowledged a request from which no task may start in its failure domain, in milliseconds. */
  readonly boundMs: number
}

/** Dependencies of {@link EvacuationWatcher}. */
export interface EvacuationWatcherDependencies extends EvacuationSettings {
  readonly store: Store
  readonly logger: Logger
  readonly metrics: Metrics
  /** Called with the evacuated failure domains whenever they have changed. */
  readonly onChange: (domains: ReadonlySet<string>) => void
}

interface Request {
  readonly revision: number
  /** When this process first saw the request, on the monotonic clock. */
  readonly seenAt: number
  /** Ends when the request is in force. */
  readonly timer: NodeJS.Timeout
}

export class EvacuationWatcher {
  private readonly _dependencies: EvacuationWatcherDependencies
  private readonly _times: EvacuationTimes
  private readonly _watcher: PrefixWatcher
  /** Known requests, by failure domain. */
  private readonly _requests = new Map<string, Request>()
  /** Start of the last store call that confirmed the known requests; they are as old as that. */
  private _confirmedSince: CallStart | undefined
  private readonly _loaded: Promise<void>
  private _endLoading: () => void = () => {}

  constructor (dependencies: EvacuationWatcherDependencies) {
    this._dependencies = dependencies
    this._times = computeEvacuationTimes(dependencies.boundMs)
    this._loaded = new Promise(resolve => { this._endLoading = resolve })
    this._watcher = new PrefixWatcher({
      store: dependencies.store,
      prefix: dependencies.prefix,
      maxSilenceMs: this._times.watchSilenceMs,
      onList: values => this._applyList(values),
      onEvents: events => this._applyEvents(events),
      onConfirm: (_revision, callStartedAt) => this._recordConfirmation(callStartedAt),
      onHealthChange: (isWatching, message) => {
        if (isWatching) dependencies.logger.info({ prefix: dependencies.prefix }, 'watching evacuations in the store')
        else dependencies.logger.warn({ prefix: dependencies.prefix, message, ageMs: this.ageMs }, 'cannot watch evacuations in the store; keeping those known so far')
      }
    })
  }

  /** Time since the store last confirmed the known evacuations, in milliseconds, counted from the start of its call; undefined if it never did. */
  get ageMs (): number | undefined {
    return this._confirmedSince === undefined ? undefined : Math.round(measureAge(this._confirmedSince, readClocks()))
  }

  /** True while the known evacuations are new enough for starts to be sent. */
  get isFresh (): boolean {
    return this._confirmedSince !== undefined && measureAge(this._confirmedSince, readClocks()) < this._times.maxKnowledgeAgeMs
  }

  /** Resolves when the evacuations have been loaded, or after `close`. */
  async open (): Promise<void> {
    await this._watcher.open()
    await this._loaded
  }

  close (): void {
    this._watcher.close()
    this._endLoading()
    if (this._requests.size > 0) this._dependencies.metrics.gauge('evacuated_domains', 0)
    for (const { timer } of this._requests.values()) clearTimeout(timer)
  }

  /** Applies a list of all requests; those that are missing have been withdrawn meanwhile. */
  private _applyList (values: readonly StoredValue[]): void {
    const listed = new Set(values.map(value => this._dependencies.decodeKey(value.key)))
    const withdrawn = [...this._requests.keys()].filter(domain => !listed.has(domain))
    this._applyChanges(() => {
      for (const domain of withdrawn) this._withdraw(domain)
      for (const value of values) this._addRequest(value)
    })
    this._endLoading()
  }

  private _applyEvents (events: readonly WatchEvent[]): void {
    this._applyChanges(() => {
      for (const event of events) {
        if (event.kind === 'put') this._addRequest(event.value)
        else this._withdraw(this._dependencies.decodeKey(event.key), event.modRevision)
      }
    })
  }

  private _applyChanges (apply: () => void): void {
    const before = [...this._requests.keys()].join()
    apply()
    if ([...this._requests.keys()].join() === before) return
    this._dependencies.metrics.gauge('evacuated_domains', this._requests.size)
    this._dependencies.onChange(new Set(this._requests.keys()))
  }

  private _addRequest (stored: StoredValue): void {
    const domain = this._dependencies.decodeKey(stored.key)
    if (domain === undefined || this._requests.has(domain)) return
    const { logger } = this._dependencies
    const revision = stored.modRevision
    const seenAt = performance.now()
    const timer = setTimeout(() => logger.info({ domain, revision, ageMs: Math.round(performance.now() - seenAt) }, 'evacuation in force'), this._times.inForceMs)
    this._requests.set(domain, { revision, seenAt, timer })
    logger.info({ domain, revision, ageMs: this.ageMs }, 'evacuation requested')
  }

  /** Forgets a request; `revision` is the store revision of its withdrawal, if known. */
  private _withdraw (domain: string | undefined, revision?: number): void {
    const request = this._requests.get(domain ?? '')
    if (domain === undefined || request === undefined) return
    clearTimeout(request.timer)
    this._requests.delete(domain)
    this._dependencies.logger.info({ domain, revision: revision ?? request.revision, ageMs: Math.round(performance.now() - request.seenAt) }, 'evacuation withdrawn')
  }

  private _recordConfirmation (callStartedAt: CallStart): void {
    if (this._confirmedSince !== undefined && callStartedAt.monotonicMs <= this._confirmedSince.monotonicMs) return
    const { isFresh: wasFresh, ageMs } = this
    this._confirmedSince = callStartedAt
    if (wasFresh || ageMs === undefined || !this.isFresh) return
    this._dependencies.logger.warn({ ageMs, domains: [...this._requests.keys()] }, 'evacuations are confirmed again after a gap in which no starts were sent')
  }
}
