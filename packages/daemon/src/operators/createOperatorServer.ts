/**
 * Wires the operators' HTTP server of an entry.
 */
import type { EntrySettings, QueueReport } from '@dragonflylever/protocol'
import type { Store } from '@dragonflylever/adapters'
import type { Blackboard, ClientGuard, Logger } from '@dragonflylever/runtime'
import { createPartLogger } from '@dragonflylever/runtime'

import type { ConfigurationHolder } from '../shared/configurationHolder.js'
import type { FleetState } from '../shared/fleetState.js'
import { FleetStatusSource } from '../shared/statusSource.js'
import { ConfigurationAcceptor } from './configurationAcceptor.js'
import { listWorkerCapacities } from './fleetCheck.js'
import { HistoryReader } from './historyReader.js'
import { OperatorServer } from './operatorServer.js'

/** Components of an entry that its operators' server uses. */
export interface OperatorServerContext {
  readonly settings: EntrySettings
  readonly board: Blackboard<FleetState>
  readonly store: Store
  readonly holder: ConfigurationHolder
  readonly logger: Logger
  readonly guard: ClientGuard
  readonly describeQueue: () => QueueReport
  readonly collectRevisions: () => Promise<ReadonlyMap<string, number>>
}

/** Creates the operators' server of an entry and the components that only this server uses. */
export function createOperatorServer (context: OperatorServerContext): OperatorServer {
  const { settings, board, store, holder } = context
  const { prefix } = settings.store
  const logger = createPartLogger(context.logger, 'operators')
  return new OperatorServer({
    board,
    acceptor: new ConfigurationAcceptor({ store, prefix, holder, logger, listWorkers: () => listWorkerCapacities(board.get('members')) }),
    history: new HistoryReader(store, prefix),
    status: new FleetStatusSource({ processId: settings.id, board, store, collectRevisions: context.collectRevisions }),
    describeQueue: context.describeQueue,
    operatorsKey: settings.operatorsKey,
    guard: context.guard,
    logger
  })
}
