/**
 * Messages between agents and the planner of job graphs. The shapes are those of `core/graphs/workerReport.ts`.
 */
import * as z from 'zod'

const whole = z.number().int()
const needs = z.object({ cpuMillis: z.number(), memoryMb: z.number(), accelerators: z.number() })
const runName = z.object({ task: z.string(), run: whole })
const workerKey = z.object({ id: z.string(), born: whole })

const workerReport = z.object({
  key: workerKey,
  address: z.string(),
  service: z.string(),
  rack: z.string(),
  labels: z.array(z.string()),
  failureDomain: z.string(),
  region: z.string(),
  capacity: needs,
  isDraining: z.boolean(),
  drainLeftMs: z.number().optional(),
  isOver: z.boolean(),
  isReachable: z.boolean(),
  leaseLeftMs: z.number(),
  listNumber: whole,
  running: z.array(runName.extend({ checkpoint: z.string(), percent: z.number(), usage: z.number() })),
  ended: z.array(runName.extend({ number: whole, how: z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']), checkpoint: z.string() })),
  orders: z.array(runName.extend({ status: z.enum(['sending', 'accepted', 'refused', 'stopping', 'barred']), reason: z.string() }))
})

const workerOrders = z.object({
  key: workerKey,
  mayExtend: z.boolean(),
  seen: whole,
  starts: z.array(runName.extend({ payload: z.string(), checkpoint: z.string(), ticket: z.string().optional() })),
  stops: z.array(runName),
  paces: z.array(runName.extend({ percent: z.number() }))
})

/** JSON-RPC methods between agents, entries and the planner. */
export const RunMethods = {
  /**
   * Agent to planner: all it knows of its workers. Held for up to `waitMs` while there is nothing to order. A call with a
   * higher `number` of the same agent's start ends the wait of earlier ones.
   */
  workerReports: {
    params: z.object({ agent: z.string(), address: z.string(), start: z.string(), number: whole, waitMs: z.number(), reports: z.array(workerReport) }),
    /** `epoch` is absent when the receiver isn't the planner. */
    result: z.object({ epoch: whole.optional(), orders: z.array(workerOrders) })
  },
  /** Planner to agent: who plans now; for agents that can't read it from the store. */
  plannerChanged: {
    params: z.object({ epoch: whole, address: z.string() }),
    result: z.object({})
  }
} as const

export type WorkerReportMessage = z.infer<typeof workerReport>
export type WorkerOrdersMessage = z.infer<typeof workerOrders>
