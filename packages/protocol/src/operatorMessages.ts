/**
 * Messages between the command line and the operators' port of an entry.
 */
import * as z from 'zod'

/** Paths of the operators' port. */
export const OperatorPath = {
  configuration: '/v1/config',
  history: '/v1/config/history',
  status: '/v1/status',
  explain: '/v1/explain'
} as const

/** Largest document that operators may send, in bytes. */
export const MAX_DOCUMENT_BYTES = 512 * 1024
/** Largest value that the store holds for a configuration, in bytes. */
export const MAX_CONFIGURATION_BYTES = 900 * 1024
/** Number of accepted revisions that the history keeps. */
export const MAX_HISTORY = 50

/** A document that an operator wants in force. */
export const applyRequestSchema = z.strictObject({
  /** Declarations as JSON with comments. */
  document: z.string().max(MAX_DOCUMENT_BYTES),
  /** Revision that the operator saw; 0 when there is none. */
  expect: z.number().int().min(0),
  /** Who applies, free text. */
  by: z.string().min(1).max(128),
  /** Unique per document to apply; the same again repeats the same attempt. */
  nonce: z.string().min(8).max(64),
  /** Accepts without a check against the fleet while no worker is announced. */
  allowUnknownFleet: z.boolean().default(false),
  /** An earlier attempt with this nonce may have taken effect. */
  isRepeat: z.boolean().default(false)
})

export type ApplyRequest = z.infer<typeof applyRequestSchema>

const faultSchema = z.object({ line: z.number(), column: z.number(), path: z.string(), found: z.string(), expected: z.string() })
const changeSchema = z.object({ path: z.string(), before: z.string().optional(), after: z.string().optional() })

const historyEntrySchema = z.object({ revision: z.number(), acceptedAt: z.number(), acceptedBy: z.string(), nonce: z.string() })

/** One accepted revision: when, by whom. */
export type HistoryEntry = z.infer<typeof historyEntrySchema>

/** How an attempt to put a document in force ended. */
export const applyOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted'), revision: z.number(), isFleetChecked: z.boolean() }),
  /** Another revision is in force than the one expected; `changes` lead from the expected one to it. */
  z.object({ kind: z.literal('stale'), currentRevision: z.number(), since: z.array(historyEntrySchema), changes: z.array(changeSchema).optional() }),
  z.object({ kind: z.literal('refused'), faults: z.array(faultSchema) }),
  /** Nothing was written: the document isn't in force and won't be. */
  z.object({ kind: z.literal('storeUnavailable'), message: z.string() }),
  /** The document may be in force; the same nonce again settles it. */
  z.object({ kind: z.literal('unsettled'), message: z.string() })
])

export type ApplyOutcome = z.infer<typeof applyOutcomeSchema>

/** Answer to a read of the configuration in force. */
export const configurationAnswerSchema = z.object({ revision: z.number(), declarations: z.unknown().optional(), acceptedAt: z.number().optional(), acceptedBy: z.string().optional() })
export type ConfigurationAnswer = z.infer<typeof configurationAnswerSchema>

/** Answer to a read of the history, newest first. */
export const historyAnswerSchema = z.object({ entries: z.array(historyEntrySchema) })

const processStatusSchema = z.object({
  id: z.string(),
  role: z.string(),
  state: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  address: z.string(),
  /** Revision in force there; absent when it has not said. */
  revision: z.number().optional(),
  isBehind: z.boolean(),
  silentMs: z.number()
})

/** What an entry knows of the fleet, from its own memory. */
export const fleetStatusSchema = z.object({
  entry: z.string(),
  revision: z.number(),
  processes: z.array(processStatusSchema),
  duties: z.array(z.object({ name: z.string(), holder: z.string(), epoch: z.number() })),
  store: z.object({ health: z.string(), budgetUsed: z.number().optional() })
})

export type FleetStatus = z.infer<typeof fleetStatusSchema>
export type ProcessStatus = z.infer<typeof processStatusSchema>
