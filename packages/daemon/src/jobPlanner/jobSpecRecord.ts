/**
 * Encodes and decodes the stored specs of jobs. Of a job of many steps, each kind of step is stored once and without the values that are usual, so that the record of a job is no larger than the
 * request that submitted it. A build that doesn't know this format can't read such a spec and leaves the job alone.
 */
import { MAX_TASKS_PER_JOB, countTasks, hasOrderedSteps } from '@dragonflylever/core/graphs/index'
import type { JobGraph, StepSpec } from '@dragonflylever/core/graphs/index'
import { parseJson } from '@dragonflylever/protocol'
import * as z from 'zod'

/** Number of steps up to which a spec is stored as it is. */
const MAX_PLAIN_STEPS = 16

const nonNegativeInteger = z.number().int().min(0)
const queueSchema = z.object({
  name: z.string(),
  service: z.string(),
  priority: z.number(),
  maxAttempts: z.number(),
  stretch: z.number(),
  targetLatencyMs: z.number(),
  advice: z.object({ decisionMs: z.number(), perWorkerMs: z.number(), validityMs: z.number() }).optional()
})
const stepSchema = z.object({
  count: nonNegativeInteger,
  cpuMillis: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
  estimatedMs: z.number(),
  after: z.array(nonNegativeInteger),
  isCheckpointing: z.boolean(),
  isGang: z.boolean(),
  isSameRack: z.boolean(),
  requiredLabel: z.string().optional(),
  dataRack: z.string().optional(),
  maxPerWorker: z.number().optional(),
  isSpeculative: z.boolean(),
  isLongRunning: z.boolean(),
  image: z.string().optional(),
  latencyTargetMs: z.number().optional(),
  isFilling: z.boolean(),
  mayMiss: z.number()
})
const jobFields = { id: z.string(), organisation: z.string(), queue: queueSchema, payload: z.string(), acceptedAt: z.number() }
const repeat = z.object({ count: nonNegativeInteger, intervalMs: z.number(), firstRunAt: z.number() }).optional()
const graphSchema = z.object({ ...jobFields, steps: z.array(stepSchema), repeat })
  .refine(graph => hasOrderedSteps(graph.steps), 'a step may only come after earlier ones')
  .refine(graph => countTasks(graph.steps) <= MAX_TASKS_PER_JOB, `expected at most ${MAX_TASKS_PER_JOB} tasks`)

/** The part of a step that many steps share. */
type StepKind = Omit<StepSpec, 'count' | 'after'>
/** Stored step: the index of its kind, the number of its tasks, and the indices of the steps it comes after. */
type StepRecord = readonly number[]

const USUAL_STEP: StepKind = { cpuMillis: 0, memoryMb: 0, accelerators: 0, estimatedMs: 0, isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFilling: false, mayMiss: 0 }
const kindSchema = stepSchema.omit({ count: true, after: true }).partial()
const compactSchema = z.object({ ...jobFields, kinds: z.array(kindSchema), steps: z.custom<readonly StepRecord[]>(value => Array.isArray(value) && value.every(isStepRecord)), repeat })

/** Encodes a job spec. */
export function encodeJobSpec (graph: JobGraph): string {
  if (graph.steps.length <= MAX_PLAIN_STEPS) return JSON.stringify(graph)
  const indices = new Map<string, number>()
  const kinds: object[] = []
  const steps = graph.steps.map(({ count, after, ...kind }): StepRecord => {
    const unusual = Object.fromEntries(Object.entries(kind).filter(([field, value]) => value !== USUAL_STEP[field as keyof StepKind]))
    const text = JSON.stringify(unusual)
    const index = indices.get(text) ?? kinds.push(unusual) - 1
    indices.set(text, index)
    return [index, count, ...after]
  })
  return JSON.stringify({ ...graph, kinds, steps })
}

/** Decodes a job spec; returns undefined if the text is not a valid job spec. */
export function decodeJobSpec (text: string): JobGraph | undefined {
  const json = parseJson(text)
  const compact = compactSchema.safeParse(json)
  const checked = graphSchema.safeParse(compact.success ? restoreSteps(compact.data) : json)
  return checked.success ? checked.data as JobGraph : undefined
}

/** Restores the steps of a stored spec; one without a kind stays undefined, which is no valid step. */
function restoreSteps ({ kinds, steps, ...job }: z.infer<typeof compactSchema>): object {
  return {
    ...job,
    steps: steps.map(([index = NaN, count, ...after]) => {
      const kind = kinds[index]
      return kind === undefined ? undefined : { ...USUAL_STEP, ...kind, count, after }
    })
  }
}

function isStepRecord (value: unknown): boolean {
  return Array.isArray(value) && value.length >= 2 && value.every(number => Number.isSafeInteger(number) && (number as number) >= 0)
}
