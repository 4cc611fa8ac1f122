/**
 * Messages between agents and the planner of job graphs. They match the types in `core/graphs/workerReport.ts`.
 */
import * as z from 'zod'

const integer = z.number().int()
const resources = z.object({ cpuMillis: z.number(), memoryMb: z.number(), accelerators: z.number() })
const runKey = z.object({ task: z.string(), run: integer })
const workerKey = z.object({ id: z.string(), born: integer })

const workerReport = z.object({
  key: workerKey,
  address: z.string(),
  service: z.string(),
  rack: z.string(),
  labels: z.array(z.string()),
  version: z.string().optional(),
  failureDomain: z.string(),
  region: z.string(),
  capacity: resources,
  isDraining: z.boolean(),
  drainLeftMs: z.number().optional(),
  coldLeftMs: z.number().optional(),
  isOver: z.boolean(),
  isReachable: z.boolean(),
  leaseLeftMs: z.number(),
  listNumber: integer,
  running: z.array(runKey.extend({ checkpoint: z.string(), percent: z.number(), usage: z.number(), msPerPercent: z.number().optional() })),
  ended: z.array(runKey.extend({ number: integer, how: z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']), checkpoint: z.string() })),
  orders: z.array(runKey.extend({ status: z.enum(['sending', 'accepted', 'refused', 'stopping', 'barred']), reason: z.string() })),
  hasMoreEnds: z.boolean().optional(),
  isPartial: z.boolean().optional(),
  crashes: z.array(z.object({ suspects: z.array(runKey) })).default([])
})

const workerOrders = z.object({
  key: workerKey,
  mayExtend: z.boolean(),
  seen: integer,
  starts: z.array(runKey.extend({ payload: z.string(), checkpoint: z.string(), ticket: z.string().optional() })),
  stops: z.array(runKey),
  paces: z.array(runKey.extend({ percent: z.number() }))
})

/** JSON-RPC methods between agents, entries and the planner. */
export const RunMethods = {
  /**
   * Agent to planner: reports all workers of the agent. Long poll: if there are no orders for
   * the agent, the answer is delayed for up to `waitMs` milliseconds. `start` identifies the start of the agent's process, and `number`
   * counts its calls: a call ends the wait of calls with the same `start` and a lower `number`.
   */
  workerReports: {
    params: z.object({ agent: z.string(), address: z.string(), start: z.string(), number: integer, waitMs: z.number(), reports: z.array(workerReport) }),
    /** `epoch` is absent if the receiver is not the planner. `heldMs` is how long the planner delayed the answer; 0 if absent. */
    result: z.object({ epoch: integer.optional(), heldMs: z.number().min(0).optional(), orders: z.array(workerOrders) })
  },
  /** Planner to agent: announces the current planner to agents that can't read it from the store. */
  plannerChanged: {
    params: z.object({ epoch: integer, address: z.string() }),
    result: z.object({})
  }
} as const

export type WorkerReportMessage = z.infer<typeof workerReport>
export type WorkerOrdersMessage = z.infer<typeof workerOrders>
