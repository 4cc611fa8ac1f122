/**
 * Keys and records of job graphs in the store.
 */
import { JobPhase, isTimed } from '@dragonflylever/core/graphs/index'
import type { JobGraph } from '@dragonflylever/core/graphs/index'
import { parseJson } from '@dragonflylever/protocol'
import * as z from 'zod'

/** What consumers are shown of a job; kept longer than the job itself, so that its id stays taken. */
const stateSchema = z.object({
  phase: z.enum(JobPhase),
  queue: z.string(),
  organisation: z.string(),
  /** True for a job that waits for its times; such jobs don't count as waiting. */
  isTimed: z.boolean(),
  acceptedAt: z.number()
})
export type JobStateRecord = z.infer<typeof stateSchema>

const whole = z.number().int().min(0)
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
  count: whole,
  cpuMillis: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
  estimatedMs: z.number(),
  after: z.array(whole),
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
const graphSchema = z.object({
  id: z.string(),
  organisation: z.string(),
  queue: queueSchema,
  payload: z.string(),
  steps: z.array(stepSchema),
  repeat: z.object({ count: whole, intervalMs: z.number(), firstRunAt: z.number() }).optional(),
  acceptedAt: z.number()
})

/** Keys of one deployment. */
export class GraphKeys {
  private readonly _prefix: string

  constructor (prefix: string) {
    this._prefix = prefix
  }

  /** Prefix of what entries hand in: specs and cancellations. */
  get input (): string {
    return `${this._prefix}/graphs/in/`
  }

  /** Prefix of the states shown to consumers. */
  get states (): string {
    return `${this._prefix}/graphs/state/`
  }

  /** Prefix of the planner's records. */
  get progress (): string {
    return `${this._prefix}/graphs/progress/`
  }

  /** Prefix of the processes' addresses. */
  get nodes (): string {
    return `${this._prefix}/nodes/`
  }

  getSpec (jobId: string): string {
    return `${this.input}${jobId}/spec`
  }

  getCancel (jobId: string): string {
    return `${this.input}${jobId}/cancel`
  }

  getState (jobId: string): string {
    return `${this.states}${jobId}`
  }

  getProgress (jobId: string): string {
    return `${this.progress}${jobId}`
  }

  getNode (name: string): string {
    return `${this.nodes}${name}`
  }

  /** Tells what a key of the input is about; undefined for any other key. */
  parseInput (key: string): { readonly jobId: string, readonly kind: 'spec' | 'cancel' } | undefined {
    const [jobId, kind] = key.slice(this.input.length).split('/')
    if (jobId === undefined || (kind !== 'spec' && kind !== 'cancel')) return undefined
    return { jobId, kind }
  }
}

/** Creates the state of a job that was just accepted. */
export function createQueuedState (graph: JobGraph): JobStateRecord {
  return { phase: JobPhase.queued, queue: graph.queue.name, organisation: graph.organisation, isTimed: isTimed(graph), acceptedAt: graph.acceptedAt }
}

/** Decodes a job; undefined when the text is none. */
export function decodeGraph (text: string): JobGraph | undefined {
  const checked = graphSchema.safeParse(parseJson(text))
  return checked.success ? checked.data as JobGraph : undefined
}

/** Decodes a state; undefined when the text is none. */
export function decodeState (text: string): JobStateRecord | undefined {
  const checked = stateSchema.safeParse(parseJson(text))
  return checked.success ? checked.data : undefined
}
