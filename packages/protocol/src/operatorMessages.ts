/**
 * Messages between the command line and an entry's operators' port.
 */
import * as z from 'zod'

/** Paths of the operators' port. */
export const OperatorPath = {
  configuration: '/v1/config',
  history: '/v1/config/history',
  status: '/v1/status',
  explain: '/v1/explain'
} as const

/** Maximum size of a document that operators may send, in bytes. */
export const MAX_DOCUMENT_BYTES = 512 * 1024
/** Maximum size of a configuration record in the store, in bytes. */
export const MAX_CONFIGURATION_BYTES = 900 * 1024
/** Maximum number of accepted revisions in the history. */
export const MAX_HISTORY = 50

/** A request of an operator to put a document in force. */
export const applyRequestSchema = z.strictObject({
  /** Declarations as JSON with comments. */
  document: z.string().max(MAX_DOCUMENT_BYTES),
  /** Revision that the operator expects to be in force; 0 if there is none yet. */
  expect: z.number().int().min(0),
  /** The operator who applies the document, as free text. */
  by: z.string().min(1).max(128),
  /** Idempotency token of the attempt: a request with the same nonce repeats the same attempt. */
  nonce: z.string().min(8).max(64),
  /** Accepts the document without checking it against the fleet if no worker is announced. */
  allowUnknownFleet: z.boolean().default(false),
  /** True if an earlier request with this nonce may have put the document in force. */
  isRepeat: z.boolean().default(false)
})

export type ApplyRequest = z.infer<typeof applyRequestSchema>

const faultSchema = z.object({ line: z.number(), column: z.number(), path: z.string(), found: z.string(), expected: z.string() })
const changeSchema = z.object({ path: z.string(), before: z.string().optional(), after: z.string().optional() })

const historyEntrySchema = z.object({ revision: z.number(), acceptedAt: z.number(), acceptedBy: z.string(), nonce: z.string() })

/** One accepted revision: when and by whom it was applied. */
export type HistoryEntry = z.infer<typeof historyEntrySchema>

/** Outcome of an attempt to put a document in force. */
export const applyOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted'), revision: z.number(), isFleetChecked: z.boolean() }),
  /** A revision other than the expected one is in force; `changes` lists the differences from the expected revision to the current one. */
  z.object({ kind: z.literal('stale'), currentRevision: z.number(), since: z.array(historyEntrySchema), changes: z.array(changeSchema).optional() }),
  z.object({ kind: z.literal('refused'), faults: z.array(faultSchema) }),
  /** Nothing was written: the document is not in force and this attempt will not put it in force. */
  z.object({ kind: z.literal('storeUnavailable'), message: z.string() }),
  /** The document may be in force; repeating the request with the same nonce determines the outcome. */
  z.object({ kind: z.literal('unsettled'), message: z.string() })
])

export type ApplyOutcome = z.infer<typeof applyOutcomeSchema>

/** Answer to a request for the configuration in force. */
export const configurationAnswerSchema = z.object({ revision: z.number(), declarations: z.unknown().optional(), acceptedAt: z.number().optional(), acceptedBy: z.string().optional() })
export type ConfigurationAnswer = z.infer<typeof configurationAnswerSchema>

/** Answer to a request for the history; entries are sorted newest first. */
export const historyAnswerSchema = z.object({ entries: z.array(historyEntrySchema) })

const processStatusSchema = z.object({
  id: z.string(),
  role: z.string(),
  state: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  address: z.string(),
  /** Revision that the process uses; absent if it has not reported one. */
  revision: z.number().optional(),
  isBehind: z.boolean(),
  silentMs: z.number()
})

/** The state of the fleet as an entry knows it from its own memory, without reading the store. */
export const fleetStatusSchema = z.object({
  entry: z.string(),
  revision: z.number(),
  processes: z.array(processStatusSchema),
  duties: z.array(z.object({ name: z.string(), holder: z.string(), epoch: z.number() })),
  store: z.object({ health: z.string(), budgetUsed: z.number().optional() })
})

export type FleetStatus = z.infer<typeof fleetStatusSchema>
export type ProcessStatus = z.infer<typeof processStatusSchema>
