/**
 * In-memory copy of the job states in the store, updated by a watch. Entries answer clients from it.
 */
import { PrefixWatcher } from '@dragonflylever/adapters'
import type { Store, StoredValue, WatchEvent } from '@dragonflylever/adapters'
import { JobPhase, isFinalPhase } from '@dragonflylever/core/graphs/index'
import type { Logger } from '@dragonflylever/runtime'

import { decodeJobState } from '../jobPlanner/graphKeys.js'
import type { GraphKeys, JobStateRecord } from '../jobPlanner/graphKeys.js'

/** Dependencies of {@link JobStates}. */
export interface JobStatesDependencies {
  readonly store: Store
  readonly keys: GraphKeys
  readonly logger: Logger
}

export class JobStates {
  private readonly _dependencies: JobStatesDependencies
  private readonly _watcher: PrefixWatcher
  private readonly _states = new Map<string, JobStateRecord>()

  constructor (dependencies: JobStatesDependencies) {
    this._dependencies = dependencies
    this._watcher = new PrefixWatcher({
      store: dependencies.store,
      prefix: dependencies.keys.states,
      onList: values => { for (const value of values) this._applyStoredState(value) },
      onEvents: events => this._applyEvents(events),
      onHealthChange: (isWatching, message) => {
        if (isWatching) dependencies.logger.info({ known: this._states.size }, 'watching job states in the store')
        else dependencies.logger.warn({ message, known: this._states.size }, 'cannot watch job states in the store; answering from the states known so far')
      }
    })
  }

  open (): Promise<void> {
    return this._watcher.open()
  }

  close (): void {
    this._watcher.close()
  }

  get (jobId: string): JobStateRecord | undefined {
    return this._states.get(jobId)
  }

  /** Records the state of a job, unless a later state is already recorded: a final state is never replaced, and `running` is not replaced by `queued`. */
  recordState (jobId: string, state: JobStateRecord): void {
    const known = this._states.get(jobId)
    if (known !== undefined && isFinalPhase(known.phase)) return
    if (known !== undefined && known.phase === JobPhase.running && state.phase === JobPhase.queued) return
    this._states.set(jobId, state)
  }

  /** Counts the jobs of a queue of which no task has started yet. Jobs with scheduled start times are not counted. */
  countWaiting (queue: string): number {
    let count = 0
    for (const state of this._states.values()) if (state.queue === queue && state.phase === JobPhase.queued && !state.isTimed) count++
    return count
  }

  private _applyEvents (events: readonly WatchEvent[]): void {
    for (const event of events) {
      if (event.kind === 'put') this._applyStoredState(event.value)
      else this._states.delete(event.key.slice(this._dependencies.keys.states.length))
    }
  }

  private _applyStoredState (value: StoredValue): void {
    const state = decodeJobState(value.value)
    if (state === undefined) {
      this._dependencies.logger.error({ key: value.key, revision: value.modRevision }, 'stored job state is unreadable; ignoring it')
      return
    }
    this.recordState(value.key.slice(this._dependencies.keys.states.length), state)
  }
}
