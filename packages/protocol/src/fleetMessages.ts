/**
 * Messages about membership and configuration between processes.
 */
import * as z from 'zod'

import { memberSchema } from './members.js'

/** A configuration in a message. The receiver validates its declarations. */
export const configurationEnvelope = z.object({
  revision: z.number().int(),
  declarations: z.unknown(),
  acceptedAt: z.number(),
  nonce: z.string(),
  acceptedBy: z.string()
})

/** Version of the member list of a failure domain: an epoch, and a number within the epoch. Epochs are compared first. */
export const listVersionSchema = z.tuple([z.number().int(), z.number().int()])

/** Versions of the state that a process has: the revision of its configuration and the member list versions of the failure domains that it follows. */
export const summarySchema = z.object({
  revision: z.number().int(),
  domains: z.record(z.string(), listVersionSchema)
})

/** A complete member list, or the changes to it since an earlier version of the same epoch. */
export const domainChangeSchema = z.object({
  domain: z.string(),
  region: z.string(),
  epoch: z.number().int(),
  version: z.number().int(),
  /** Version of the member list that the changes apply to; absent if `members` is the complete list. */
  since: z.number().int().optional(),
  registrar: z.object({ id: z.string(), address: z.string() }),
  /** Number of slots of all agents in the fleet, as last known to the registrar. */
  fleetSlots: z.number().int(),
  members: z.array(memberSchema),
  removed: z.array(z.string())
})

/** A configuration and member list changes that one process sends to another. */
export const fleetUpdateSchema = z.object({
  configuration: configurationEnvelope.optional(),
  domains: z.array(domainChangeSchema)
})

export type ListVersion = z.infer<typeof listVersionSchema>
export type Summary = z.infer<typeof summarySchema>
export type DomainChange = z.infer<typeof domainChangeSchema>
export type FleetUpdate = z.infer<typeof fleetUpdateSchema>
