/**
 * Messages between the planner and the agents that run parts of gangs, and between the agents of one gang.
 */
import { z } from 'zod'

const shape = z.object({ accelerators: z.number(), cores: z.number(), memoryGb: z.number() })

/** One task that an agent is to hold. */
export const gangTaskSchema = z.object({
  taskId: z.string(),
  shape,
  payload: z.string(),
  checkpoint: z.string()
})

const gangKey = { jobId: z.string(), incarnation: z.number().int() }
const taskStateSchema = z.object({ taskId: z.string(), state: z.enum(['prepared', 'running', 'done', 'failed', 'stopped', 'expired']), checkpoint: z.string(), message: z.string() })

/** One agent's part of a gang. */
export const gangPartSchema = z.object({ ...gangKey, tasks: z.array(taskStateSchema) })

/** JSON-RPC methods of gangs. */
export const GangMethods = {
  /** Planner to agent: hold resources for the agent's tasks of a gang. `members` are the control addresses of all its agents, the first leads. */
  gangReserve: {
    params: z.object({ ...gangKey, epoch: z.number().int(), tasks: z.array(gangTaskSchema), members: z.array(z.string()), planner: z.string(), expiresInMs: z.number(), leaseMs: z.number() }),
    result: z.object({ kind: z.enum(['reserved', 'refused']), message: z.string() })
  },
  /** Planner to agent: start the held tasks; one agent of the gang leads. */
  gangStart: {
    params: z.object({ ...gangKey, epoch: z.number().int(), isLeader: z.boolean() }),
    result: z.object({ kind: z.enum(['started', 'refused']), message: z.string() })
  },
  /** Planner or leader to agent: stop the tasks, with a checkpoint first when asked. */
  gangStop: {
    params: z.object({ ...gangKey, epoch: z.number().int(), withCheckpoint: z.boolean() }),
    result: z.object({ kind: z.enum(['stopped', 'refused']), checkpoints: z.record(z.string(), z.string()) })
  },
  /** Planner to agent: slow a gang's tasks down, or let them run at full speed again. */
  gangThrottle: {
    params: z.object({ ...gangKey, epoch: z.number().int(), share: z.number().gt(0).max(1) }),
    result: z.object({ kind: z.enum(['throttled', 'refused']) })
  },
  /** Leader to agent: the gang's lease goes on. The answer tells of the agent's tasks; an unknown part has none. */
  gangRenew: {
    params: z.object(gangKey),
    result: gangPartSchema
  },
  /** Leader to planner: all tasks are done, or one is lost and the rest are being stopped. */
  gangReport: {
    params: z.object({ ...gangKey, result: z.enum(['done', 'failed']), blamedAgent: z.string(), message: z.string(), checkpoints: z.record(z.string(), z.string()) }),
    result: z.object({ isKnown: z.boolean() })
  },
  /** Planner to agent: list the parts that the agent holds, and report to this planner from now on. */
  gangInventory: {
    params: z.object({ epoch: z.number().int(), planner: z.string() }),
    result: z.object({ parts: z.array(gangPartSchema) })
  }
} as const

export type GangTask = z.infer<typeof gangTaskSchema>
export type GangPartReport = z.infer<typeof gangPartSchema>
