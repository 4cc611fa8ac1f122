/**
 * Watches the operators' declarations in the store and keeps an index of those in force at this process. Declarations whose version is
 * not higher than that of those in force are ignored.
 */
import { PrefixWatcher } from '@dragonflylever/adapters'
import type { Store, StoredValue } from '@dragonflylever/adapters'
import { PolicyIndex } from '@dragonflylever/core/graphs/index'
import type { FleetPolicy } from '@dragonflylever/core/graphs/index'
import type { Logger } from '@dragonflylever/runtime'

/** Dependencies of {@link PolicyWatcher}. */
export interface PolicyWatcherDependencies {
  readonly store: Store
  /** Store key of the declarations. */
  readonly key: string
  /** Decodes the declarations; returns undefined if they are invalid. */
  readonly decode: (text: string) => FleetPolicy | undefined
  readonly logger: Logger
}

export class PolicyWatcher {
  private readonly _dependencies: PolicyWatcherDependencies
  private _watcher: PrefixWatcher | undefined
  private _index: PolicyIndex | undefined

  constructor (dependencies: PolicyWatcherDependencies) {
    this._dependencies = dependencies
  }

  /** Index of the declarations in force at this process; undefined until they are first loaded. */
  get index (): PolicyIndex | undefined {
    return this._index
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
  }

  private _createWatcher (): PrefixWatcher {
    const dependencies = this._dependencies
    return new PrefixWatcher({
      store: dependencies.store,
      prefix: dependencies.key,
      onList: values => { for (const value of values) this._applyDeclarations(value) },
      onEvents: events => { for (const event of events) if (event.kind === 'put') this._applyDeclarations(event.value) },
      onHealthChange: (isWatching, message) => {
        if (isWatching) dependencies.logger.info({ key: dependencies.key }, 'watching declarations in the store')
        else dependencies.logger.warn({ key: dependencies.key, message, version: this._index?.policy.version }, 'cannot watch declarations in the store; keeping those in force')
      }
    })
  }

  private _applyDeclarations (stored: StoredValue): void {
    if (stored.key !== this._dependencies.key) return
    const policy = this._dependencies.decode(stored.value)
    const { logger } = this._dependencies
    if (policy === undefined) {
      logger.error({ key: stored.key, revision: stored.modRevision, version: this._index?.policy.version }, 'stored declarations are unreadable; keeping those in force')
      return
    }
    if (this._index !== undefined && policy.version <= this._index.policy.version) return
    this._index = new PolicyIndex(policy)
    logger.info({ version: policy.version, revision: stored.modRevision, queues: policy.queues.length, organisations: policy.organisations.length }, 'declarations in force')
  }
}
