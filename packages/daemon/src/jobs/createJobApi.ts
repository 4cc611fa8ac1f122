/**
 * Creates an entry's HTTP API for jobs with its dependencies.
 */
import type { Store } from '@dragonflylever/adapters'
import type { EntrySettings } from '@dragonflylever/protocol'
import type { Blackboard } from '@dragonflylever/runtime'

import { isAuthorised } from '../entry/callerRequest.js'
import type { PlannerLeadership } from '../planner/plannerLeadership.js'
import type { FleetState } from '../shared/fleetState.js'
import { JobApi } from './jobApi.js'
import { JobDirectory } from './jobDirectory.js'

/** Dependencies of {@link createJobApi}. */
export interface JobApiOptions {
  readonly settings: EntrySettings
  readonly store: Store
  readonly board: Blackboard<FleetState>
  readonly planner: PlannerLeadership
}

/** Creates the HTTP API for jobs, which reads and writes jobs in the store and asks the planner for explanations. */
export function createJobApi (options: JobApiOptions): JobApi {
  const { settings, store, board, planner } = options
  return new JobApi({
    directory: new JobDirectory(store, settings.store.prefix),
    getConfiguration: () => board.get('configuration'),
    isAllowed: (message, organisation) => isAuthorised(message, organisation, settings.organisationKeys),
    explain: jobId => planner.explain(jobId)
  })
}
