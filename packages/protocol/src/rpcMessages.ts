/**
 * JSON-RPC methods between processes: the schemas of their parameters and results, which the receiver validates.
 */
import * as z from 'zod'

import { GangMethods } from './gangMessages.js'
import { configurationEnvelope, fleetUpdateSchema, summarySchema } from './fleetMessages.js'
import { memberSchema } from './members.js'
import { RunMethods } from './runMessages.js'

/** Maximum size of a call, in bytes. Larger calls are refused. */
export const MAX_CALL_BYTES = 2 * 1024 * 1024

/** Schemas of the parameters and results of all RPC methods, by method name. */
export const RpcMethods = {
  ...GangMethods,
  ...RunMethods,
  /** A process reports its member record. The result contains the configuration if the receiver has a newer one than the sender. */
  heartbeat: {
    params: z.object({ member: memberSchema, revision: z.number().int(), isForwarded: z.boolean().optional() }),
    result: z.object({
      configuration: configurationEnvelope.optional(),
      /** True if the receiver is the registrar and has added the member to its list. */
      isRegistered: z.boolean().optional(),
      /** Control address of the registrar of the member's failure domain, if known. */
      registrar: z.string().optional()
    })
  },
  /** A process reports that it leaves the fleet. */
  leave: {
    params: z.object({ member: memberSchema, isForwarded: z.boolean().optional() }),
    result: z.object({ isRegistered: z.boolean().optional() })
  },
  /** Checks that a process is alive and requests its summary. */
  ping: {
    params: z.object({ summary: summarySchema }),
    result: z.object({ id: z.string(), incarnation: z.string(), summary: summarySchema })
  },
  /**
   * Requests the configuration and member list changes that are newer than the versions in the caller's `summary`: for the failure domains
   * listed there or, with `isAll`, for all failure domains that the receiver knows.
   */
  sync: {
    params: z.object({ summary: summarySchema, isAll: z.boolean() }),
    result: fleetUpdateSchema
  },
  /** Sends a configuration and member list changes. The region and failure domain of the sender determine to which processes the receiver forwards them. */
  relay: {
    params: z.object({ news: fleetUpdateSchema, from: z.object({ region: z.string(), failureDomain: z.string() }) }),
    result: z.object({})
  },
  /** Reports to a registrar that a member of its failure domain does not respond. */
  report: {
    params: z.object({ failureDomain: z.string(), id: z.string(), incarnation: z.string(), isForwarded: z.boolean().optional() }),
    result: z.object({ isRegistrar: z.boolean() })
  },
  /** Notifies another entry that a failure domain may be unreachable. */
  suspect: {
    params: z.object({ failureDomain: z.string() }),
    result: z.object({})
  },
  /** Requests from a registrar the configuration revisions that the members of its failure domain use. */
  revisions: {
    params: z.object({ failureDomain: z.string() }),
    result: z.object({ revisions: z.record(z.string(), z.number().int()) })
  },
  /** An entry withdraws an attempt from an agent; the outcome says whether the attempt was started, if the agent knows. */
  withdraw: {
    params: z.object({ attemptId: z.string(), incarnation: z.string() }),
    result: z.object({ outcome: z.enum(['neverStarted', 'started', 'cannotVouch']) })
  },
  /** An entry cancels an attempt whose caller has disconnected. */
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
  /** `isRefused` is true if the receiver has refused the call for what it contains, so that it would refuse the same call again. */
  | { readonly kind: 'failed', readonly message: string, readonly isRefused?: boolean }
