/**
 * Schema and types of the declarations of operators: classes of work with their targets, and organisations with their guarantees.
 */
import * as z from 'zod'

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/
const DURATION_PATTERN = /^(\d+)(ms|s|m|h)$/
const MS_PER_UNIT = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 } as const

/** Converts a duration such as `2s` or `30m` to milliseconds. Returns undefined if the text is not a duration. */
export function parseDuration (text: string): number | undefined {
  const match = DURATION_PATTERN.exec(text)
  if (match === null) return undefined
  return Number(match[1]) * MS_PER_UNIT[match[2] as keyof typeof MS_PER_UNIT]
}

const name = z.string().regex(NAME_PATTERN, 'expected lower-case letters, digits and hyphens, starting with a letter, at most 63')
const duration = z.string().regex(DURATION_PATTERN, 'expected a duration such as "200ms", "2s", "30m" or "4h"')

/** The scope within which all accelerators of a shape must be placed. */
export const Adjacency = { worker: 'worker', rack: 'rack', failureDomain: 'failureDomain' } as const
export type Adjacency = typeof Adjacency[keyof typeof Adjacency]

const guaranteedShapeSchema = z.strictObject({
  accelerators: z.number().int().min(1).max(512),
  adjacency: z.enum(Adjacency),
  count: z.number().int().min(1).max(1_024).default(1)
})

const classSchema = z.strictObject({
  kind: z.enum(['request', 'job']),
  startWithin: duration.optional(),
  finishWithin: duration,
  idempotent: z.boolean().default(false)
})

const organisationSchema = z.strictObject({
  guaranteedSlots: z.number().int().min(0).max(100_000).default(0),
  guaranteedShapes: z.array(guaranteedShapeSchema).max(64).default([])
})

export const declarationsSchema = z.strictObject({
  classes: z.record(name, classSchema),
  organisations: z.record(name, organisationSchema)
})

/** Schema of declarations with the rules that relate several keys. A document is accepted only if it satisfies this schema. */
export const acceptableDeclarationsSchema = declarationsSchema.superRefine((declarations, context) => {
  for (const [className, declared] of Object.entries(declarations.classes)) {
    const startMs = declared.startWithin === undefined ? 0 : parseDuration(declared.startWithin) ?? 0
    const finishMs = parseDuration(declared.finishWithin) ?? 0
    if (finishMs === 0) context.addIssue({ code: 'custom', path: ['classes', className, 'finishWithin'], message: 'expected a duration above zero' })
    if (startMs > finishMs) context.addIssue({ code: 'custom', path: ['classes', className, 'startWithin'], message: `expected at most finishWithin, ${declared.finishWithin}` })
  }
  if (Object.keys(declarations.classes).length === 0) context.addIssue({ code: 'custom', path: ['classes'], message: 'expected at least one class' })
  if (Object.keys(declarations.organisations).length === 0) context.addIssue({ code: 'custom', path: ['organisations'], message: 'expected at least one organisation' })
})

export type Declarations = z.infer<typeof declarationsSchema>
export type ClassDeclaration = z.infer<typeof classSchema>
export type OrganisationDeclaration = z.infer<typeof organisationSchema>
export type GuaranteedShape = z.infer<typeof guaranteedShapeSchema>

/** The accepted configuration, as held by the store and by all processes. */
export interface Configuration {
  /** Revision number, which increases by one with each accepted document. */
  readonly revision: number
  readonly declarations: Declarations
  /** Wall-clock time of acceptance in milliseconds since the epoch, for display only. */
  readonly acceptedAt: number
  /** Unique per attempt to apply a document, so that the outcome can be determined when the answer was lost. */
  readonly nonce: string
  /** The operator who applied the document, as free text. */
  readonly acceptedBy: string
}
