/**
 * Keeps what the planner has learned of workers and queues in the store, so that the next planner takes it over. Nothing waits for it: without the record, a planner
 * starts with its defaults.
 */
import type { Store } from '@dragonflylever/adapters'
import type { GraphPlanner } from '@dragonflylever/core/graphs/index'
import type { Logger } from '@dragonflylever/runtime'

import { decodeLearned, encodeLearned } from './learnedRecord.js'

/** Interval at which the record is written if it has changed, in milliseconds. */
const WRITE_INTERVAL_MS = 10_000
/** Mean rate at which records are written at most, in bytes for each millisecond: control may use 4 KB/s on a host. */
const MAX_BYTES_PER_MS = 1

/** Dependencies of {@link LearnedStore}. */
export interface LearnedStoreDependencies {
  readonly store: Store
  /** Key of the record. */
  readonly key: string
  readonly leaderKey: string
  readonly epoch: number
  readonly planner: Pick<GraphPlanner, 'encodeLearned' | 'restoreLearned'>
  readonly logger: Logger
}

export class LearnedStore {
  private readonly _dependencies: LearnedStoreDependencies
  private readonly _timer: NodeJS.Timeout
  /** True once the stored record was read, or found missing or unreadable. Until then it must not be replaced. */
  private _isRead = false
  private _stored = ''
  private _writtenAt = -Infinity
  private _isBusy = false
  private _isClosed = false

  constructor (dependencies: LearnedStoreDependencies) {
    this._dependencies = dependencies
    this._timer = setInterval(() => { void this._sync() }, WRITE_INTERVAL_MS)
  }

  /** Reads the record, and passes it to the planner when it arrives. If the store doesn't answer, the record is read later. */
  async load (): Promise<void> {
    const { store, key, planner, logger, epoch } = this._dependencies
    const outcome = await store.get(key)
    if (this._isClosed || this._isRead || outcome.kind !== 'ok') return
    const decoded = outcome.value === undefined ? undefined : decodeLearned(outcome.value.value)
    if (decoded?.kind === 'newer') {
      logger.warn({ epoch }, 'a later build has stored what planners learn; starting without it and leaving it alone')
      return this.close()
    }
    this._isRead = true
    if (decoded?.kind === 'unreadable') logger.warn({ epoch, revision: outcome.value?.modRevision }, 'the record of what planners learn is unreadable; starting without it')
    if (decoded?.kind !== 'ok') return
    this._stored = outcome.value?.value ?? ''
    planner.restoreLearned(decoded.record, performance.now())
    const { speeds, queues } = decoded.record
    logger.info({ epoch, workers: speeds.workers.length, queues: queues.length, hasDifferences: speeds.hasDifferences }, 'took over what earlier planners have learned')
  }

  close (): void {
    this._isClosed = true
    clearInterval(this._timer)
  }

  private async _sync (): Promise<void> {
    if (this._isBusy) return
    this._isBusy = true
    if (this._isRead) await this._write()
    else await this.load()
    this._isBusy = false
  }

  private async _write (): Promise<void> {
    const { store, key, leaderKey, epoch, planner, logger } = this._dependencies
    const now = performance.now()
    if ((now - this._writtenAt) * MAX_BYTES_PER_MS < this._stored.length) return
    const learned = planner.encodeLearned(now)
    const value = encodeLearned(learned)
    if (value === this._stored || (learned.speeds.workers.length === 0 && learned.queues.length === 0)) return
    this._writtenAt = now
    const outcome = await store.transact({ expect: [{ key: leaderKey, modRevision: epoch }], puts: [{ key, value }], removes: [] })
    if (outcome.kind === 'ok') this._stored = value
    else if (outcome.kind === 'conflict') this.close()
    else logger.debug({ epoch, outcome: outcome.kind }, 'could not store what the planner has learned; will retry')
  }
}
