/**
 * What processes tell each other of membership and configuration.
 */
import * as z from 'zod'

import { memberSchema } from './members.js'

/** A configuration as it travels; its declarations are checked by the receiver. */
export const configurationEnvelope = z.object({
  revision: z.number().int(),
  declarations: z.unknown(),
  acceptedAt: z.number(),
  nonce: z.string(),
  acceptedBy: z.string()
})

/** Epoch and version of a failure domain's member list: compared in this order. */
export const listVersionSchema = z.tuple([z.number().int(), z.number().int()])

/** What a process has: revision of the configuration, and list versions of the failure domains it follows. */
export const summarySchema = z.object({
  revision: z.number().int(),
  domains: z.record(z.string(), listVersionSchema)
})

/** A member list, or what changed in it since a version of the same epoch. */
export const domainChangeSchema = z.object({
  domain: z.string(),
  region: z.string(),
  epoch: z.number().int(),
  version: z.number().int(),
  /** Version that the change builds on; absent: the whole list. */
  since: z.number().int().optional(),
  registrar: z.object({ id: z.string(), address: z.string() }),
  /** Slots of all agents of the fleet, as the registrar last knew. */
  fleetSlots: z.number().int(),
  members: z.array(memberSchema),
  removed: z.array(z.string())
})

/** What one process passes on to another. */
export const newsSchema = z.object({
  configuration: configurationEnvelope.optional(),
  domains: z.array(domainChangeSchema)
})

export type ListVersion = z.infer<typeof listVersionSchema>
export type Summary = z.infer<typeof summarySchema>
export type DomainChange = z.infer<typeof domainChangeSchema>
export type News = z.infer<typeof newsSchema>
