/**
 * Watches the operators' declarations in the store and keeps an index of those in force at this process. Declarations whose version is
 * not higher than that of those in force are ignored.
 */
import { PrefixWatcher } from '@dragonflylever/adapters'
import type { CallStart, Store, StoredValue, WatchEvent } from '@dragonflylever/adapters'
import { PolicyIndex } from '@dragonflylever/core/graphs/index'
import type { FleetPolicy } from '@dragonflylever/core/graphs/index'
import { LogLimiter, measureAge, readClocks } from '@dragonflylever/runtime'
import type { Logger, Metrics } from '@dragonflylever/runtime'

/** Dependencies of {@link PolicyWatcher}. */
export interface PolicyWatcherDependencies {
  readonly store: Store
  /** Store key of the declarations. */
  readonly key: string
  /** Decodes the declarations; returns undefined if they are invalid. */
  readonly decode: (text: string) => FleetPolicy | undefined
  readonly logger: Logger
  readonly metrics: Metrics
  /** Time within which a change of the declarations must be in force, in milliseconds. */
  readonly applyMs: number
}

/** Share of the time for a change in which a watch that hears nothing must notice; the rest is for another way to the store. */
const NOTICE_SHARE = 0.5
/** Time without a confirmation by the store after which the next one is logged, in milliseconds. */
const LOGGED_CONFIRMATION_GAP_MS = 3_000
/** Maximum number of log lines per second about failed calls of the watch. */
const MAX_FAILURE_LINES_PER_S = 4

export class PolicyWatcher {
  private readonly _dependencies: PolicyWatcherDependencies
  private readonly _limiter = new LogLimiter(MAX_FAILURE_LINES_PER_S)
  private _watcher: PrefixWatcher | undefined
  private _index: PolicyIndex | undefined
  /** Revision up to which the store last confirmed the declarations, and the start of the call that did; they are as old as that. */
  private _confirmed: { readonly revision: number, readonly since: CallStart } | undefined

  constructor (dependencies: PolicyWatcherDependencies) {
    this._dependencies = dependencies
  }

  /** Index of the declarations in force at this process; undefined until they are first loaded. */
  get index (): PolicyIndex | undefined {
    return this._index
  }

  /** Time since the start of the last call that confirmed the declarations, in milliseconds; undefined before the first time and while they are not watched. */
  get ageMs (): number | undefined {
    return this._confirmed === undefined ? undefined : Math.round(measureAge(this._confirmed.since, readClocks()))
  }

  /** True while the declarations may be older than the time within which a change must be in force. */
  get isOutdated (): boolean {
    return (this.ageMs ?? Infinity) > this._dependencies.applyMs
  }

  /** Starts to watch the declarations; may be called again after `close`. */
  open (): Promise<void> {
    this.close()
    this._watcher = this._createWatcher()
    return this._watcher.open()
  }

  close (): void {
    this._watcher?.close()
    this._watcher = undefined
    this._confirmed = undefined
  }

  private _createWatcher (): PrefixWatcher {
    const dependencies = this._dependencies
    return new PrefixWatcher({
      store: dependencies.store,
      prefix: dependencies.key,
      isValueOnly: true,
      maxSilenceMs: dependencies.applyMs * NOTICE_SHARE,
      onList: values => { for (const value of values) this._applyDeclarations(value) },
      onEvents: events => this._applyNewest(events),
      onConfirm: (revision, since) => this._recordConfirmation(revision, since),
      onCallFailure: (message, elapsedMs) => this._logCallFailure(message, elapsedMs),
      onHealthChange: (isWatching, message) => {
        if (isWatching) dependencies.logger.info({ key: dependencies.key }, 'watching declarations in the store')
        else dependencies.logger.warn({ key: dependencies.key, message, version: this._index?.policy.version }, 'cannot watch declarations in the store; keeping those in force')
      }
    })
  }

  private _recordConfirmation (revision: number, since: CallStart): void {
    const { ageMs } = this
    const version = this._index?.policy.version
    if (ageMs !== undefined && ageMs > LOGGED_CONFIRMATION_GAP_MS) this._dependencies.logger.warn({ version, revision, confirmedRevision: this._confirmed?.revision, ageMs }, 'declarations are confirmed again after a gap')
    if (ageMs !== undefined) this._dependencies.metrics.time('declarations_gap_ms', ageMs)
    this._confirmed = { revision, since }
  }

  private _logCallFailure (message: string, elapsedMs: number): void {
    const leftOut = this._limiter.admit('call')
    if (leftOut === undefined) return
    this._dependencies.logger.warn({ message, elapsedMs, version: this._index?.policy.version, confirmedRevision: this._confirmed?.revision, ageMs: this.ageMs, leftOut }, 'a call for changes of the declarations failed; repeating it')
  }

  /** Applies the newest of several versions; decoding a version costs time in proportion to its size. */
  private _applyNewest (events: readonly WatchEvent[]): void {
    const newest = events.findLast(event => event.kind === 'put' && event.value.key === this._dependencies.key)
    if (newest?.kind === 'put') this._applyDeclarations(newest.value)
  }

  private _applyDeclarations (stored: StoredValue): void {
    if (stored.key !== this._dependencies.key) return
    const startedAt = performance.now()
    const policy = this._dependencies.decode(stored.value)
    const { logger, metrics } = this._dependencies
    if (policy === undefined) {
      logger.error({ key: stored.key, revision: stored.modRevision, version: this._index?.policy.version, confirmedRevision: this._confirmed?.revision, ageMs: this.ageMs }, 'stored declarations are unreadable; keeping those in force')
      return
    }
    if (this._index !== undefined && policy.version <= this._index.policy.version) return
    this._index = new PolicyIndex(policy)
    const decodeMs = Math.round(performance.now() - startedAt)
    metrics.gauge('declarations_version', policy.version)
    logger.info({ version: policy.version, revision: stored.modRevision, chars: stored.value.length, decodeMs, queues: policy.queues.length, organisations: policy.organisations.length, confirmedRevision: this._confirmed?.revision, ageMs: this.ageMs }, 'declarations in force')
  }
}
