/**
 * The entry role for job graphs: watches the declarations and the job states in the store, answers clients' calls and reports readiness.
 */
import type { Store } from '@dragonflylever/adapters'
import type { Random } from '@dragonflylever/core'
import type { FleetPolicy } from '@dragonflylever/core/graphs/index'
import { Lifecycle, createPartLogger } from '@dragonflylever/runtime'
import type { Logger, Metrics } from '@dragonflylever/runtime'

import type { GraphKeys } from '../jobPlanner/graphKeys.js'
import { AdmissionWatcher } from './admissionWatcher.js'
import { JobAdmission } from './jobAdmission.js'
import { JobEntryHandler } from './jobEntryHandler.js'
import { JobStates } from './jobStates.js'
import { PolicyWatcher } from './policyWatcher.js'

/** Dependencies of {@link JobEntryProcess}. */
export interface JobEntryDependencies {
  readonly store: Store
  readonly keys: GraphKeys
  /** Store key of the declarations. */
  readonly policyKey: string
  /** Decodes the declarations; returns undefined if they are invalid. */
  readonly decodePolicy: (text: string) => FleetPolicy | undefined
  /** Time within which a change of the declarations must be in force, in milliseconds. */
  readonly applyMs: number
  readonly logger: Logger
  readonly metrics: Metrics
  /** Spreads the times at which refused clients come back. */
  readonly random: Random
  /** True to refuse jobs that would be worth nothing by the planner's forecast; false when absent. */
  readonly isAdmissionOn?: boolean
}

/** Bounds of the largest body, in bytes, that follows from the declarations: what applies without a declaration, and what the decoders of a process have memory for. */
const MIN_BODY_LIMIT_BYTES = 262_144
const MAX_BODY_LIMIT_BYTES = 4 * 1024 * 1024

export class JobEntryProcess {
  readonly front: JobEntryHandler
  private readonly _lifecycle = new Lifecycle()
  private readonly _policy: PolicyWatcher
  private readonly _states: JobStates
  /** Present if admission is on: the watch costs about 0.4 store calls a second while there is no forecast. */
  private readonly _admission: AdmissionWatcher | undefined
  private _isStopping = false

  constructor (dependencies: JobEntryDependencies) {
    const { store, keys, logger, metrics, random } = dependencies
    this._policy = new PolicyWatcher({
      store,
      key: dependencies.policyKey,
      decode: dependencies.decodePolicy,
      logger: createPartLogger(logger, 'config'),
      metrics,
      applyMs: dependencies.applyMs
    })
    this._states = new JobStates({ store, keys, logger: createPartLogger(logger, 'states') })
    const admissionWatcher = dependencies.isAdmissionOn === true ? new AdmissionWatcher({ store, keys, logger: createPartLogger(logger, 'admission') }) : undefined
    this._admission = admissionWatcher
    const admission = admissionWatcher === undefined ? {} : { admission: new JobAdmission({ getForecast: () => admissionWatcher.forecast, random }) }
    this.front = new JobEntryHandler({ ...admission, store, keys, states: this._states, logger: createPartLogger(logger, 'front'), metrics, random, getPolicy: () => this._policy.index, isOutdated: () => this._policy.isOutdated })
    this._lifecycle.add('declarations', () => this._policy.close())
    this._lifecycle.add('states', () => this._states.close())
    this._lifecycle.add('admission', () => this._admission?.close())
  }

  /** True while this process should receive new connections: the declarations are loaded, and it is not stopping. */
  get isReady (): boolean {
    return !this._isStopping && this.front.isReady
  }

  /** Version of the declarations in force at this process; undefined until they are first loaded. */
  get version (): number | undefined {
    return this._policy.index?.policy.version
  }

  /** Largest body that a client may send, in bytes. */
  get maxBodyBytes (): number {
    const declared = this._policy.index?.policy.limits.maxBodyBytes ?? 0
    return Math.min(Math.max(declared, MIN_BODY_LIMIT_BYTES), MAX_BODY_LIMIT_BYTES)
  }

  /** Time since the store last confirmed the declarations in force, in milliseconds; undefined if it never did. */
  get declarationsAgeMs (): number | undefined {
    return this._policy.ageMs
  }

  async open (): Promise<void> {
    await Promise.all([this._policy.open(), this._states.open(), this._admission?.open()])
  }

  /** Makes the readiness check fail, so that no new connections are opened; calls are still answered. */
  beginStop (): void {
    this._isStopping = true
  }

  async close (): Promise<void> {
    await this._lifecycle.close()
  }
}
