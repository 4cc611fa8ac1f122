/**
 * Messages between the planner and the agents that run tasks of gangs.
 */
import * as z from 'zod'

const id = z.object({ jobId: z.string(), incarnation: z.number().int(), task: z.number().int() })
const shape = z.object({ accelerators: z.number(), cores: z.number(), memoryGb: z.number() })

/** A command of the planner for one task. `reserve` also transfers the payload of the task and the checkpoint from which it is to start. */
export const taskCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('reserve'), epoch: z.number().int(), id, shape, payload: z.string(), checkpoint: z.string() }),
  z.object({ kind: z.enum(['prepare', 'go', 'checkpoint', 'stop']), epoch: z.number().int(), id })
])

/** The status of a task at its agent. `checkpoint` is empty if the task has no checkpoint. */
export const taskReportSchema = z.object({
  workerId: z.string(),
  id,
  status: z.enum(['reserved', 'ready', 'running', 'finished', 'failed', 'checkpointed', 'gone']),
  checkpoint: z.string(),
  ranMs: z.number()
})

/** JSON-RPC methods for gangs. */
export const GangMethods = {
  /** Planner to agent: commands for the agent's tasks. `planner` is the address that the agent reports to from then on. */
  taskCommands: {
    params: z.object({ epoch: z.number().int(), planner: z.string(), commands: z.array(taskCommandSchema), wantsInventory: z.boolean() }),
    result: z.object({ fencedBy: z.number().int().optional(), reports: z.array(taskReportSchema) })
  },
  /** Agent to planner: reports all tasks of the agent and renews their leases. The result lists the renewed tasks and the orphaned tasks to stop. */
  taskRenew: {
    params: z.object({ workerId: z.string(), epoch: z.number().int(), reports: z.array(taskReportSchema) }),
    result: z.object({ epoch: z.number().int().optional(), renewed: z.array(id), orphans: z.array(id) })
  },
  /** Entry to planner: asks why a job is waiting. */
  explainJob: {
    params: z.object({ jobId: z.string() }),
    result: z.object({ reasons: z.array(z.string()), expectedStartAt: z.number().optional() })
  }
} as const

export type TaskCommandMessage = z.infer<typeof taskCommandSchema>
export type TaskReportMessage = z.infer<typeof taskReportSchema>
export type TaskId = z.infer<typeof id>
