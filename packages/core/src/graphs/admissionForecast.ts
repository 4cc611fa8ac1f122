/**
 * Lists for the entries the shapes of jobs that would be worth nothing if they arrived now, from the shapes of the jobs that each queue has.
 */
import { computeStartLimit, describeShape } from './admission.js'
import type { AdmissionForecast, HopelessShape, JobShape } from './admission.js'
import { computeCoreSeconds, computeDeclaredCoreSeconds } from './coreSeconds.js'
import type { JobGraph, StepSpec } from './graphTypes.js'
import { RunPhase, isTimed } from './jobState.js'
import type { JobState, StepState } from './jobState.js'
import type { RunTimeEstimator } from './runTimeEstimator.js'
import type { StartForecast } from './startForecast.js'

/** Dependencies of {@link createAdmissionForecast}. */
export interface AdmissionForecastOptions {
  readonly forecast: StartForecast
  /** Jobs that have not ended. */
  readonly jobs: readonly JobState[]
  readonly runTimes: RunTimeEstimator
}

interface Candidate {
  readonly graph: JobGraph
  readonly shape: JobShape
  readonly runTimeScale: number
  /** Longest time until its start after which the job is still worth something, in milliseconds. */
  readonly limitMs: number
}

/** Maximum number of shapes that are tried for one queue and for all queues: each costs a walk over the runs of the fleet. */
const MAX_SHAPES_PER_QUEUE = 4
const MAX_SHAPES = 12

/** Creates the forecast; without shapes if no job of the shapes tried would be refused. */
export function createAdmissionForecast (options: AdmissionForecastOptions): AdmissionForecast {
  const candidates = chooseCandidates(options)
  const starts = options.forecast.predictLateStarts(candidates.map(({ graph }) => removeConstraints(graph)), candidates.map(({ limitMs }) => limitMs))
  const shapes = candidates.flatMap(({ graph, shape, runTimeScale }, index): HopelessShape[] => {
    const start = starts[index]
    // Infinity: the shape may fit once workers join, which no forecast knows.
    return start === undefined || start.optimisticMs === Infinity ? [] : [{ ...shape, queue: graph.queue.name, runTimeScale, ...start }]
  })
  const queues = new Set(shapes.map(({ queue }) => queue))
  return { shapes, organisations: Object.fromEntries([...queues].map(queue => [queue, rankOrganisations(options.jobs.filter(job => job.graph.queue.name === queue), options.runTimes)])) }
}

/** Chooses the shapes to try: jobs of different sizes from each queue with waiting work. The longest queues come first, since not all may be tried. */
function chooseCandidates ({ jobs, runTimes }: AdmissionForecastOptions): Candidate[] {
  const byLength = [...groupWaitingByQueue(jobs).values()].sort((a, b) => b.length - a.length)
  return byLength.flatMap(chooseJobs).slice(0, MAX_SHAPES).flatMap(job => {
    const { graph } = job
    const shape = describeShape(graph.steps)
    const first = job.occurrences.get(0)?.[0]
    if (shape === undefined || first === undefined) return []
    const runTimeScale = Math.max(1, runTimes.estimateRunTime(first) / Math.max(1, first.spec.estimatedMs))
    return [{ graph, shape, runTimeScale, limitMs: computeStartLimit(graph.queue, shape.chainMs * runTimeScale) }]
  })
}

function groupWaitingByQueue (jobs: readonly JobState[]): Map<string, JobState[]> {
  const byQueue = new Map<string, JobState[]>()
  for (const job of jobs) {
    if (isTimed(job.graph) || !listSteps(job).some(isUnstarted)) continue
    const { name } = job.graph.queue
    byQueue.set(name, [...byQueue.get(name) ?? [], job])
  }
  return byQueue
}

/** Chooses jobs of different sizes, the smallest first. */
function chooseJobs (jobs: readonly JobState[]): JobState[] {
  const sorted = [...jobs].sort((a, b) => computeDeclaredCoreSeconds(a.graph.steps) - computeDeclaredCoreSeconds(b.graph.steps))
  const count = Math.min(MAX_SHAPES_PER_QUEUE, sorted.length)
  return sorted.filter((_, index) => Math.floor(index * count / sorted.length) !== Math.floor((index - 1) * count / sorted.length))
}

/** Leaves out the constraints that other jobs of the same shape may not have. */
function removeConstraints (graph: JobGraph): JobGraph {
  const steps = graph.steps.map((step): StepSpec => {
    const { requiredLabel, dataRack, maxPerWorker, ...rest } = step
    return rest
  })
  return { ...graph, steps }
}

/** Sorts organisations by the share of the work of their jobs that has started, the highest share first. */
function rankOrganisations (jobs: readonly JobState[], runTimes: RunTimeEstimator): string[] {
  const totals = new Map<string, { started: number, all: number }>()
  for (const job of jobs) {
    const total = totals.get(job.graph.organisation) ?? { started: 0, all: 0 }
    for (const step of listSteps(job)) {
      const taskWork = computeCoreSeconds(step.spec, runTimes.estimateRunTime(step))
      total.started += taskWork * step.tasks.filter(task => task.isDone || task.runs.some(run => run.phase !== RunPhase.stopping)).length
      total.all += taskWork * step.tasks.length
    }
    totals.set(job.graph.organisation, total)
  }
  const shares = [...totals].map(([name, { started, all }]) => ({ name, share: all === 0 ? 1 : started / all, started }))
  return shares.sort((a, b) => b.share - a.share || b.started - a.started).map(({ name }) => name)
}

function listSteps (job: JobState): StepState[] {
  return [...job.occurrences.values()].flat()
}

function isUnstarted (step: StepState): boolean {
  return step.tasks.some(task => !task.isDone && task.runs.length === 0)
}
