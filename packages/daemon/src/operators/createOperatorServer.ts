/**
 * Wires the operators' HTTP server of an entry.
 */
import type { EntrySettings, QueueReport } from '@dragonflylever/protocol'
import type { Store } from '@dragonflylever/adapters'
import type { Blackboard, Logger } from '@dragonflylever/runtime'
import { createPartLogger } from '@dragonflylever/runtime'

import type { ConfigurationHolder } from '../shared/configurationHolder.js'
import type { FleetFacts } from '../shared/fleetFacts.js'
import { BoardStatusSource } from '../shared/statusSource.js'
import { Acceptance } from './acceptance.js'
import { listWorkers } from './fleetCheck.js'
import { HistoryReader } from './historyReader.js'
import { OperatorServer } from './operatorServer.js'

/** Components of an entry that its operators' server uses. */
export interface OperatorServerContext {
  readonly settings: EntrySettings
  readonly board: Blackboard<FleetFacts>
  readonly store: Store
  readonly holder: ConfigurationHolder
  readonly logger: Logger
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
    acceptance: new Acceptance({ store, prefix, holder, logger, listWorkers: () => listWorkers(board.get('members')) }),
    history: new HistoryReader(store, prefix),
    status: new BoardStatusSource({ processId: settings.id, board, store, collectRevisions: context.collectRevisions }),
    describeQueue: context.describeQueue,
    operatorsKey: settings.operatorsKey
  })
}
