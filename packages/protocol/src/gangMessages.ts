/**
 * Messages between the planner and the agents that run tasks of gangs.
 */
import * as z from 'zod'

const id = z.object({ jobId: z.string(), incarnation: z.number().int(), task: z.number().int() })
const shape = z.object({ accelerators: z.number(), cores: z.number(), memoryGb: z.number() })

/** What a planner orders for one task. A reservation brings what the task runs. */
export const taskCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('reserve'), epoch: z.number().int(), id, shape, payload: z.string(), checkpoint: z.string() }),
  z.object({ kind: z.enum(['prepare', 'go', 'checkpoint', 'stop']), epoch: z.number().int(), id })
])

/** Where a task stands at its agent. The checkpoint is empty when there is none. */
export const taskReportSchema = z.object({
  workerId: z.string(),
  id,
  status: z.enum(['reserved', 'ready', 'running', 'finished', 'failed', 'checkpointed', 'gone']),
  checkpoint: z.string(),
  ranMs: z.number()
})

/** JSON-RPC methods of gangs. */
export const GangMethods = {
  /** Planner to agent: commands for its tasks. Also tells the agent whom to report to. */
  taskCommands: {
    params: z.object({ epoch: z.number().int(), planner: z.string(), commands: z.array(taskCommandSchema), wantsInventory: z.boolean() }),
    result: z.object({ fencedBy: z.number().int().optional(), reports: z.array(taskReportSchema) })
  },
  /** Agent to planner: all its tasks, and a renewal of their leases. The answer names those that may go on and those to stop. */
  taskRenew: {
    params: z.object({ workerId: z.string(), epoch: z.number().int(), reports: z.array(taskReportSchema) }),
    result: z.object({ epoch: z.number().int().optional(), renewed: z.array(id), orphans: z.array(id) })
  },
  /** Entry to planner: why a job waits. */
  explainJob: {
    params: z.object({ jobId: z.string() }),
    result: z.object({ reasons: z.array(z.string()), expectedStartAt: z.number().optional() })
  }
} as const

export type TaskCommandMessage = z.infer<typeof taskCommandSchema>
export type TaskReportMessage = z.infer<typeof taskReportSchema>
export type TaskId = z.infer<typeof id>
