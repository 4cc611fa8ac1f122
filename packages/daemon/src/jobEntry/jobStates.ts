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
  /** Jobs whose states a list or the watch has shown; the others were recorded by this process when it stored or read them. */
  private readonly _watchedJobs = new Set<string>()

  constructor (dependencies: JobStatesDependencies) {
    this._dependencies = dependencies
    this._watcher = new PrefixWatcher({
      store: dependencies.store,
      prefix: dependencies.keys.states,
      onList: values => this._applyList(values),
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
      else this._forgetJob(this._parseJobId(event.key))
    }
  }

  /**
   * Applies a list of all states. A state that the watch has shown before and that is missing now was removed while there was no watch. One that this process recorded itself
   * may be newer than the list; the watch shows it next.
   */
  private _applyList (values: readonly StoredValue[]): void {
    const listed = new Set(values.map(value => this._parseJobId(value.key)))
    for (const jobId of [...this._watchedJobs]) if (!listed.has(jobId)) this._forgetJob(jobId)
    for (const value of values) this._applyStoredState(value)
  }

  private _forgetJob (jobId: string): void {
    this._states.delete(jobId)
    this._watchedJobs.delete(jobId)
  }

  private _parseJobId (key: string): string {
    return key.slice(this._dependencies.keys.states.length)
  }

  private _applyStoredState (value: StoredValue): void {
    const state = decodeJobState(value.value)
    if (state === undefined) {
      this._dependencies.logger.error({ key: value.key, revision: value.modRevision }, 'stored job state is unreadable; ignoring it')
      return
    }
    const jobId = this._parseJobId(value.key)
    this._watchedJobs.add(jobId)
    this.recordState(jobId, state)
  }
}
