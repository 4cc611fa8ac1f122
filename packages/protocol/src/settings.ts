/**
 * Schema and types of the settings of one process. The file is JSON with comments.
 */
import * as z from 'zod'

import { isAddress } from './address.js'

const id = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'expected letters, digits, dots, hyphens and underscores, at most 64')
const ADDRESS_HINT = 'expected IP:PORT with a port up to 65535, for instance "10.0.0.7:7700"'
const URL_HINT = 'expected http://IP:PORT with a port from 1 to 65535'
const URL_PATTERN = /^https?:\/\/([^/]+)$/

/** Address to listen at; port 0 selects a free port. */
const listenAddress = z.string().refine(text => isAddress(text, 0), ADDRESS_HINT)
const address = z.string().refine(text => isAddress(text), ADDRESS_HINT)
const url = z.string().refine(text => isAddress(URL_PATTERN.exec(text)?.[1] ?? ''), URL_HINT)
const logLevel = z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info')

const common = {
  id,
  region: id,
  failureDomain: id,
  /** URLs of the platform's key-value service, and the prefix of all keys that are stored in it. */
  store: z.strictObject({ urls: z.array(url).min(1).max(16), prefix: z.string().regex(/^[a-z][a-z0-9/-]{0,62}$/).default('dragonflylever') }),
  /** Control addresses of entries or of their load balancer, for joining the fleet while the store is unavailable. */
  join: z.array(address).max(64).default([]),
  /** Key shared by all processes of the fleet, which authenticates control messages. */
  clusterKey: z.string().min(16).max(256),
  logLevel,
  metrics: z.strictObject({ host: z.string(), port: z.number().int().min(1).max(65_535) }).optional(),
  tracing: z.strictObject({ url }).optional(),
  /** Limits on what the process holds for the clients of all its ports; the defaults apply to those that are absent. */
  clientLimits: z.strictObject({ heldBytes: z.number().int().min(16 * 1024 * 1024).optional(), connections: z.number().int().min(16).optional() }).optional()
}

export const entrySettingsSchema = z.strictObject({
  role: z.literal('entry'),
  ...common,
  listen: z.strictObject({ callers: listenAddress, control: listenAddress, operators: listenAddress }),
  /** Key for the operators' port, sent as `authorization: Bearer KEY`. Without it the port refuses every call. */
  operatorsKey: z.string().min(16).max(256).optional(),
  /** Keys of organisations. If present, a caller must authenticate as its organisation with `authorization: Bearer KEY`. */
  organisationKeys: z.record(z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'expected the name of an organisation'), z.string().min(16)).optional()
}).superRefine((settings, context) => {
  const seen = new Set<string>()
  for (const [name, value] of Object.entries(settings.listen)) {
    if (seen.has(value) && !value.endsWith(':0')) context.addIssue({ code: 'custom', path: ['listen', name], message: 'expected an address of its own' })
    seen.add(value)
  }
  if (settings.operatorsKey === settings.clusterKey) context.addIssue({ code: 'custom', path: ['operatorsKey'], message: 'expected a key other than clusterKey' })
})

export const agentSettingsSchema = z.strictObject({
  role: z.literal('agent'),
  ...common,
  listen: z.strictObject({ control: listenAddress }),
  rack: id,
  endpoint: z.strictObject({
    url,
    slots: z.number().int().min(1).max(1_024).default(8),
    maxConnections: z.number().int().min(4).max(4_096).default(60)
  }),
  /** URL of the worker's interface for tasks, and the worker's capacity; absent if the host only runs requests. */
  worker: z.strictObject({ url, cores: z.number().int().min(1), memoryGb: z.number().min(1), accelerators: z.number().int().min(0) }).optional()
})

export const settingsSchema = z.discriminatedUnion('role', [entrySettingsSchema, agentSettingsSchema])

export type Settings = z.infer<typeof settingsSchema>
export type EntrySettings = z.infer<typeof entrySettingsSchema>
export type AgentSettings = z.infer<typeof agentSettingsSchema>
