/**
 * Puts configurations in force in this process. Only a higher revision replaces the current configuration.
 */
import { declarationsSchema } from '@dragonflylever/protocol'
import type { Configuration } from '@dragonflylever/protocol'
import type { Blackboard, Logger } from '@dragonflylever/runtime'

import type { FleetState } from './fleetState.js'

/** A configuration as received over the network, before its declarations are validated. */
export interface ConfigurationEnvelope {
  readonly revision: number
  readonly declarations?: unknown
  readonly acceptedAt: number
  readonly nonce: string
  readonly acceptedBy: string
}

export class ConfigurationHolder {
  private readonly _board: Blackboard<FleetState>
  private readonly _logger: Logger

  constructor (board: Blackboard<FleetState>, logger: Logger) {
    this._board = board
    this._logger = logger
  }

  /** Revision of the configuration in force; 0 when there is none. */
  get revision (): number {
    return this._board.get('configuration')?.revision ?? 0
  }

  /** Puts a configuration in force if its revision is higher than the current one and it is valid; returns whether it did so. */
  applyIfNewer (envelope: ConfigurationEnvelope): boolean {
    if (envelope.revision <= this.revision) return false
    const parsed = declarationsSchema.safeParse(envelope.declarations)
    if (!parsed.success) {
      this._logger.error({ revision: envelope.revision }, 'configuration revision refused: its declarations do not match the schema')
      return false
    }
    const { revision, acceptedAt, nonce, acceptedBy } = envelope
    const configuration: Configuration = { revision, declarations: parsed.data, acceptedAt, nonce, acceptedBy }
    this._board.set('configuration', configuration)
    this._logger.info({ revision: envelope.revision }, 'configuration revision in force')
    return true
  }
}
