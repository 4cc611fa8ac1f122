/**
 * Settings of one process: schema and types. The file is JSON with comments.
 */
import { z } from 'zod'

const id = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'expected letters, digits, dots, hyphens and underscores, at most 64')
const address = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected IP:PORT, for instance "10.0.0.7:7700"')
const url = z.string().regex(/^https?:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected http://IP:PORT')
const logLevel = z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info')

const common = {
  id,
  region: id,
  failureDomain: id,
  /** Endpoints of the platform's key-value service. */
  store: z.strictObject({ urls: z.array(url).min(1).max(16), prefix: z.string().regex(/^[a-z][a-z0-9/-]{0,62}$/).default('dragonflylever') }),
  /** Other ways in while the store is away: control addresses of entries or of their balancer. */
  join: z.array(address).max(64).default([]),
  /** Shared by all processes; authenticates control messages. */
  clusterKey: z.string().min(16).max(256),
  logLevel,
  metrics: z.strictObject({ host: z.string(), port: z.number().int().min(1).max(65_535) }).optional(),
  tracing: z.strictObject({ url }).optional()
}

export const entrySettingsSchema = z.strictObject({
  role: z.literal('entry'),
  ...common,
  listen: z.strictObject({ callers: address, control: address, operators: address }),
  /** Opens the operators' port to `authorization: Bearer KEY`; without it that port refuses every call. */
  operatorsKey: z.string().min(16).max(256).optional(),
  /** Keys of organisations; when present a caller proves its organisation with `authorization: Bearer KEY`. */
  organisationKeys: z.record(z.string(), z.string().min(16)).optional()
})

export const agentSettingsSchema = z.strictObject({
  role: z.literal('agent'),
  ...common,
  listen: z.strictObject({ control: address }),
  rack: id,
  endpoint: z.strictObject({
    url,
    slots: z.number().int().min(1).max(1_024).default(8),
    maxConnections: z.number().int().min(4).max(4_096).default(60)
  }),
  /** The worker's interface for tasks; absent when the host runs requests only. */
  worker: z.strictObject({ url, cores: z.number().int().min(1), memoryGb: z.number().min(1), accelerators: z.number().int().min(0) }).optional()
})

export const settingsSchema = z.discriminatedUnion('role', [entrySettingsSchema, agentSettingsSchema])

export type Settings = z.infer<typeof settingsSchema>
export type EntrySettings = z.infer<typeof entrySettingsSchema>
export type AgentSettings = z.infer<typeof agentSettingsSchema>
