/**
 * Store keys of job graphs, and the format of the states shown to clients.
 */
import { HEAD_PART, JobPhase, isTimed } from '@dragonflylever/core/graphs/index'
import type { JobGraph } from '@dragonflylever/core/graphs/index'
import { parseJson } from '@dragonflylever/protocol'
import * as z from 'zod'

/** State of a job as shown to clients. It is retained longer than the job's other records, so that the job id cannot be reused meanwhile. */
const stateSchema = z.object({
  phase: z.enum(JobPhase),
  queue: z.string(),
  organisation: z.string(),
  /** True if the job has scheduled start times; such a job is not counted as waiting in its queue. */
  isTimed: z.boolean(),
  acceptedAt: z.number()
})
export type JobStateRecord = z.infer<typeof stateSchema>

/** Builds the store keys of one deployment, which share a prefix. */
export class GraphKeys {
  private readonly _prefix: string

  constructor (prefix: string) {
    this._prefix = prefix
  }

  /** Prefix of the keys that entries write: job specs, cancellation requests and submission fences. */
  get inputPrefix (): string {
    return `${this._prefix}/graphs/in/`
  }

  /** Prefix of the keys of the job states shown to clients. */
  get states (): string {
    return `${this._prefix}/graphs/state/`
  }

  /** Prefix of the keys of the planner's progress records: one for each job, and one for each part of a large job. */
  get progress (): string {
    return `${this._prefix}/graphs/progress/`
  }

  /** Key of the planner's forecast by which entries refuse jobs that would be worth nothing. */
  get admission (): string {
    return `${this._prefix}/graphs/admission`
  }

  /** Key of the record of what planners have learned of workers and queues. */
  get learned (): string {
    return `${this._prefix}/graphs/learned`
  }

  /** Prefix of the keys of the records with the addresses of the agents. */
  get nodes (): string {
    return `${this._prefix}/nodes/`
  }

  getSpecKey (jobId: string): string {
    return `${this.inputPrefix}${jobId}/spec`
  }

  getCancelKey (jobId: string): string {
    return `${this.inputPrefix}${jobId}/cancel`
  }

  /** Key of the fence with which late submissions of a job collide; see `submissionFence.ts`. */
  getFenceKey (jobId: string): string {
    return `${this.inputPrefix}${jobId}/fence`
  }

  getStateKey (jobId: string): string {
    return `${this.states}${jobId}`
  }

  /** Key of a part of a job's progress; the head has an empty name. */
  getProgressKey (jobId: string, part = HEAD_PART): string {
    return part === HEAD_PART ? `${this.progress}${jobId}` : `${this.progress}${jobId}/${part}`
  }

  /** Parses a key under {@link progress}. */
  parseProgressKey (key: string): { readonly jobId: string, readonly part: string } {
    const [jobId = '', part = HEAD_PART] = key.slice(this.progress.length).split('/')
    return { jobId, part }
  }

  getNodeKey (name: string): string {
    return `${this.nodes}${name}`
  }

  /** Parses a key under {@link inputPrefix}; returns undefined if it belongs to no job spec, cancellation request or submission fence. */
  parseInputKey (key: string): { readonly jobId: string, readonly kind: 'spec' | 'cancel' | 'fence' } | undefined {
    const [jobId, kind] = key.slice(this.inputPrefix.length).split('/')
    if (jobId === undefined || (kind !== 'spec' && kind !== 'cancel' && kind !== 'fence')) return undefined
    return { jobId, kind }
  }
}

/** Creates the state of a job that has just been accepted. */
export function createQueuedJobState (graph: JobGraph): JobStateRecord {
  return { phase: JobPhase.queued, queue: graph.queue.name, organisation: graph.organisation, isTimed: isTimed(graph), acceptedAt: graph.acceptedAt }
}

/** Decodes a job state; returns undefined if the text is not a valid job state. */
export function decodeJobState (text: string): JobStateRecord | undefined {
  const checked = stateSchema.safeParse(parseJson(text))
  return checked.success ? checked.data : undefined
}
