/**
 * Decides whether a job that arrives now is refused because it would be worth nothing: even the optimistic forecast ends it after three times its objective.
 * Whatever is not known for certain is accepted.
 */
import { computeDeclaredCoreSeconds } from './coreSeconds.js'
import type { QueuePolicy, StepSpec } from './graphTypes.js'
import { MAX_LATE_FACTOR, computeObjectiveMs } from './jobObjective.js'
import { roundRetryAfter } from './retryAfter.js'

/** What the first step of a job takes at the same time, and the work of the whole job. Jobs that take no less, and are no less work, start no earlier. */
export interface JobShape {
  /** Number of tasks that have to start together: all tasks of a gang, otherwise one. */
  readonly tasks: number
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly accelerators: number
  /** Longest chain of steps by their declared run times, in milliseconds. */
  readonly chainMs: number
  /** Work of all tasks by their declared run times. */
  readonly coreSeconds: number
}

/** A shape whose jobs are worth nothing if they arrive now. Times are from now, in milliseconds. */
export interface HopelessShape extends JobShape {
  readonly queue: string
  /** Expected run times relative to the declared ones, at least 1. */
  readonly runTimeScale: number
  readonly optimisticMs: number
  readonly expectedMs: number
}

/** What the planner publishes for the entries. */
export interface AdmissionForecast {
  readonly shapes: readonly HopelessShape[]
  /** Organisations with recent jobs by queue, the best served first. */
  readonly organisations: Readonly<Record<string, readonly string[]>>
}

/** A job that a client submits. */
export interface AdmissionRequest {
  readonly queue: QueuePolicy
  readonly steps: readonly StepSpec[]
  readonly organisation: string
  /** Accelerators that are guaranteed to the organisation's jobs of priority 0. */
  readonly guaranteedAccelerators: number
  /** How often the job was refused before and came back as told. */
  readonly returns: number
}

export type AdmissionDecision =
  | { readonly kind: 'accepted' }
  /** `startMs` is the optimistic time until the start, `limitMs` the longest that it may take, `retryAfterMs` whole seconds until room is expected. */
  | { readonly kind: 'refused', readonly startMs: number, readonly limitMs: number, readonly retryAfterMs: number }

const ACCEPTED: AdmissionDecision = { kind: 'accepted' }
/** How much further the limit reaches for organisations in the half that is served least, and for each time that a client came back as told, so that they are refused last. */
const LEAST_SERVED_LENIENCY = 0.5
const RETURN_LENIENCY = 0.5
const MIN_RETRY_MS = 1_000
const MAX_RETRY_MS = 20_000
/** How much later the best served organisation is told to come back than the one served least. */
const RANK_SHARE = 0.5

/** Decides on a job; `random` is a number in [0, 1), which spreads the clients that are refused together. */
export function decideAdmission (forecast: AdmissionForecast, request: AdmissionRequest, random: number): AdmissionDecision {
  const { queue, steps, guaranteedAccelerators } = request
  // The guarantee may be in use, but by how much is known a second later at the earliest.
  if (queue.priority === 0 && countAccelerators(steps) <= guaranteedAccelerators) return ACCEPTED
  const shape = describeShape(steps)
  if (shape === undefined) return ACCEPTED
  const bounds = forecast.shapes.filter(known => known.queue === queue.name && isAtLeast(shape, known))
  const bound = bounds.reduce<HopelessShape | undefined>((best, known) => best === undefined || known.optimisticMs > best.optimisticMs ? known : best, undefined)
  if (bound === undefined) return ACCEPTED
  const rank = computeServedRank(forecast.organisations[queue.name] ?? [], request.organisation)
  const leniency = 1 + (rank < 0.5 ? LEAST_SERVED_LENIENCY : 0) + request.returns * RETURN_LENIENCY
  const limitMs = computeStartLimit(queue, shape.chainMs * bound.runTimeScale) * leniency
  if (bound.optimisticMs <= limitMs) return ACCEPTED
  const roomMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, bound.expectedMs - limitMs))
  return { kind: 'refused', startMs: bound.optimisticMs, limitMs, retryAfterMs: roundRetryAfter(roomMs * (1 + rank * RANK_SHARE), random) }
}

/** Returns the longest time until its start after which a job is still worth something, in milliseconds. */
export function computeStartLimit (queue: QueuePolicy, chainMs: number): number {
  return MAX_LATE_FACTOR * computeObjectiveMs(queue, chainMs) - chainMs
}

/** Describes a job by its first step; undefined for a job without tasks or with work that lasts until it is cancelled. */
export function describeShape (steps: readonly StepSpec[]): JobShape | undefined {
  const first = steps[0]
  if (first === undefined || first.count === 0 || steps.some(step => step.isLongRunning)) return undefined
  const { cpuMillis, memoryMb, accelerators } = first
  const ends: number[] = []
  for (const step of steps) ends.push(step.estimatedMs + Math.max(0, ...step.after.map(index => ends[index] ?? 0)))
  return {
    tasks: first.isGang ? first.count : 1,
    cpuMillis: first.isFilling ? 0 : cpuMillis,
    memoryMb,
    accelerators,
    chainMs: Math.max(...ends),
    coreSeconds: computeDeclaredCoreSeconds(steps)
  }
}

/** True if jobs of a shape start no earlier than those of another one. */
function isAtLeast (shape: JobShape, other: JobShape): boolean {
  return shape.tasks >= other.tasks && shape.cpuMillis >= other.cpuMillis && shape.memoryMb >= other.memoryMb && shape.accelerators >= other.accelerators &&
    shape.chainMs >= other.chainMs && shape.coreSeconds >= other.coreSeconds
}

/** Returns the place of an organisation among those of its queue: 0 for one without recent jobs or served least, towards 1 for the best served. */
function computeServedRank (organisations: readonly string[], organisation: string): number {
  const index = organisations.indexOf(organisation)
  return index < 0 || organisations.length < 2 ? 0 : (organisations.length - 1 - index) / (organisations.length - 1)
}

function countAccelerators (steps: readonly StepSpec[]): number {
  return steps.reduce((sum, step) => sum + step.count * step.accelerators, 0)
}
