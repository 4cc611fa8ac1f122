/**
 * Members of the fleet, as processes describe them in messages.
 */
import * as z from 'zod'

const agentFactsSchema = z.object({
  rack: z.string(),
  slots: z.number().int(),
  maxConnections: z.number().int(),
  cores: z.number(),
  memoryGb: z.number(),
  accelerators: z.number().int()
})

export const memberSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'agent']),
  /** Identifier that is unique for each start of the process. */
  incarnation: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  /** Control address as IP:PORT. */
  address: z.string(),
  state: z.enum(['alive', 'leaving']),
  /** Revision of the configuration that the process uses. */
  revision: z.number().int().optional(),
  agent: agentFactsSchema.optional()
})

/** One process of the fleet. */
export type Member = z.infer<typeof memberSchema>
/** Properties of the worker and endpoint of an agent, in its member record. */
export type AgentFacts = z.infer<typeof agentFactsSchema>
