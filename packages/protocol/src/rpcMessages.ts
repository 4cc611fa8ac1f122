/**
 * JSON-RPC methods between processes: parameters and results, checked on arrival.
 */
import * as z from 'zod'

import { GangMethods } from './gangMessages.js'
import { configurationEnvelope, newsSchema, summarySchema } from './fleetMessages.js'
import { memberSchema } from './members.js'
import { RunMethods } from './runMessages.js'

/** Every RPC method by name. */
export const RpcMethods = {
  ...GangMethods,
  ...RunMethods,
  /** A process tells of itself; the answer brings configuration that is newer than the sender's. */
  heartbeat: {
    params: z.object({ member: memberSchema, revision: z.number().int(), isForwarded: z.boolean().optional() }),
    result: z.object({
      configuration: configurationEnvelope.optional(),
      /** True when the receiver is the registrar and has entered the member in its list. */
      isRegistered: z.boolean().optional(),
      /** Control address of the registrar of the member's failure domain, when known. */
      registrar: z.string().optional()
    })
  },
  /** A process has ended. */
  leave: {
    params: z.object({ member: memberSchema, isForwarded: z.boolean().optional() }),
    result: z.object({ isRegistered: z.boolean().optional() })
  },
  /** Asks a process whether it lives and what it has. */
  ping: {
    params: z.object({ summary: summarySchema }),
    result: z.object({ id: z.string(), incarnation: z.string(), summary: summarySchema })
  },
  /** Asks for what is newer than the summary, of the failure domains that it names, or of all. */
  sync: {
    params: z.object({ summary: summarySchema, isAll: z.boolean() }),
    result: newsSchema
  },
  /** Brings news; the sender's place tells the receiver whom it still has to pass it on to. */
  relay: {
    params: z.object({ news: newsSchema, from: z.object({ region: z.string(), failureDomain: z.string() }) }),
    result: z.object({})
  },
  /** Says that a member does not answer. */
  report: {
    params: z.object({ failureDomain: z.string(), id: z.string(), incarnation: z.string(), isForwarded: z.boolean().optional() }),
    result: z.object({ isRegistrar: z.boolean() })
  },
  /** Says to another entry that a failure domain may be out of reach. */
  suspect: {
    params: z.object({ failureDomain: z.string() }),
    result: z.object({})
  },
  /** Asks a registrar which configuration is in force at the members of its failure domain. */
  revisions: {
    params: z.object({ failureDomain: z.string() }),
    result: z.object({ revisions: z.record(z.string(), z.number().int()) })
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
