/**
 * JSON-RPC methods between processes: parameters and results, checked on arrival.
 */
import { z } from 'zod'

import { GangMethods } from './gangMessages.js'
import { memberSchema } from './members.js'

const configurationEnvelope = z.object({
  revision: z.number().int(),
  declarations: z.unknown(),
  acceptedAt: z.number(),
  nonce: z.string(),
  acceptedBy: z.string()
})

/** Every RPC method by name. */
export const RpcMethods = {
  ...GangMethods,
  /** A process tells of itself; the answer brings configuration that is newer than the sender's. */
  heartbeat: {
    params: z.object({ member: memberSchema, revision: z.number().int() }),
    result: z.object({ configuration: configurationEnvelope.optional(), fleetSlots: z.number().int().optional() })
  },
  /** A process says that it takes no new work. */
  leave: {
    params: z.object({ member: memberSchema }),
    result: z.object({})
  },
  /** An entry withdraws an attempt from an agent. */
  withdraw: {
    params: z.object({ attemptId: z.string(), incarnation: z.string() }),
    result: z.object({ outcome: z.enum(['neverStarted', 'started', 'cannotVouch']) })
  },
  /** An entry cancels an attempt whose caller has gone. */
  cancel: {
    params: z.object({ attemptId: z.string(), incarnation: z.string() }),
    result: z.object({})
  }
} as const

export type RpcMethodName = keyof typeof RpcMethods
export type RpcParams<M extends RpcMethodName> = z.infer<typeof RpcMethods[M]['params']>
export type RpcResultValue<M extends RpcMethodName> = z.infer<typeof RpcMethods[M]['result']>

/** Outcome of a call to another process. */
export type RpcOutcome<T> =
  | { readonly kind: 'ok', readonly value: T }
  | { readonly kind: 'failed', readonly message: string }
