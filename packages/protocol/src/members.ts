/**
 * Members of the fleet as processes tell each other of them.
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
  /** Unique per start of the process. */
  incarnation: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  /** Control address, IP:PORT. */
  address: z.string(),
  state: z.enum(['alive', 'leaving']),
  /** Configuration revision in force there. */
  revision: z.number().int().optional(),
  agent: agentFactsSchema.optional()
})

/** One process of the system. */
export type Member = z.infer<typeof memberSchema>
/** What an agent's member record says of its worker and endpoint. */
export type AgentFacts = z.infer<typeof agentFactsSchema>
