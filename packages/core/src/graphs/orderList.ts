/**
 * Lists the orders for a worker: the starts, stops and speed changes that are not yet reflected in its last report.
 */
import { RunPhase, isActive } from './jobState.js'
import type { RunState } from './jobState.js'
import { makeRunKey } from './runSet.js'
import { OrderStatus } from './workerReport.js'
import type { OrderListing, StartOrder, WorkerOrders } from './workerReport.js'
import type { WorkerState } from './workerState.js'

/** Maximum size of the starts for a worker in one answer, in characters: the payload of a job stands in each. */
const MAX_PAYLOAD_BYTES = 256 * 1024
/** Size of a start without its payload, in characters. */
const START_BYTES = 200
/** Maximum number of stops for a worker in one answer. */
const MAX_STOPS = 1_000
const STOP_STATUSES: ReadonlySet<OrderStatus | undefined> = new Set([OrderStatus.stopping, OrderStatus.barred])

/** What the orders for a worker may contain. */
export interface OrderLimits {
  /** True if the agent may extend the worker's lease. */
  readonly mayExtend: boolean
  /** False while no start may be sent to the worker. */
  readonly mayStart: boolean
  /** When this planner's leadership was last confirmed, on its clock. */
  readonly leadershipConfirmedAt: number
}

/** Lists the orders for a worker. An order is repeated until a report on the worker reflects it; what exceeds the limits of an answer follows in the next ones. */
export function listOrders (worker: WorkerState, { mayExtend, mayStart, leadershipConfirmedAt }: OrderLimits): WorkerOrders {
  const orders = new Map<string, OrderListing>()
  for (const order of worker.report?.orders ?? []) orders.set(makeRunKey(order), order)
  // Until a worker has listed its runs, runs in the stored records may have ended there without this planner knowing.
  const hasListedRuns = (worker.report?.listNumber ?? 0) > 0
  const starts: StartOrder[] = []
  const stops: Array<{ task: string, run: number }> = []
  const paces: Array<{ task: string, run: number, percent: number }> = []
  let payloadBytes = 0
  for (const run of worker.runs) {
    const name = { task: run.task.name, run: run.number }
    const status = orders.get(makeRunKey(name))?.status
    if (run.phase === RunPhase.stopping && !STOP_STATUSES.has(status) && stops.length < MAX_STOPS) stops.push(name)
    if (mayStart && run.phase === RunPhase.assigned && status === undefined && hasListedRuns && isStartable(run) && payloadBytes < MAX_PAYLOAD_BYTES) {
      starts.push(makeStartOrder(run))
      payloadBytes += START_BYTES + run.task.step.job.graph.payload.length
    }
    if (run.phase === RunPhase.running && run.pace !== run.sentPace) paces.push({ ...name, percent: run.pace })
  }
  for (const [key, orphan] of worker.orphanedRuns) if (!STOP_STATUSES.has(orders.get(key)?.status) && stops.length < MAX_STOPS) stops.push({ task: orphan.task, run: orphan.run })
  return { key: { id: worker.key.id, born: worker.key.born }, mayExtend, seen: worker.computeAcknowledged(leadershipConfirmedAt), starts, stops, paces }
}

/** True when the start of a run may be sent: the run is stored, and its job may start tasks. */
function isStartable (run: RunState): boolean {
  const { job } = run.task.step
  return job.durableVersion >= run.version && isActive(job)
}

function makeStartOrder (run: RunState): StartOrder {
  return { task: run.task.name, run: run.number, payload: run.task.step.job.graph.payload, checkpoint: run.startCheckpoint, ticket: run.ticket }
}
