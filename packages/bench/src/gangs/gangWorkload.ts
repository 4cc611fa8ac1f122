/**
 * Generates seeded streams of jobs and worker events: long-tailed run times, wrong declared run times, bursts, waves of cancellations,
 * jobs that can never run, failing hosts and racks.
 */
import { GangAdjacency, SeededRandom, WorkerState } from '@dragonflylever/core'
import type { Guarantee, JobSpec, Random, WorkerDescription } from '@dragonflylever/core'

/** A job, its arrival time, and properties of the job that the scheduler does not know, such as its actual run time. Times are in milliseconds. */
export interface JobArrival {
  readonly at: number
  readonly spec: JobSpec
  readonly runMs: number
  readonly cancelAt: number | undefined
  /** True if the job fails on every worker. */
  readonly isFaulty: boolean
  /** True if the job can never start, because no set of workers has room for its gang. */
  readonly isImpossible: boolean
}

/** Event of a worker. `down` and `up` stop and restart the worker. After `breaks`, every job with a task on the worker fails, until `mended`. */
export interface WorkerEvent {
  readonly at: number
  readonly workerId: string
  readonly kind: 'down' | 'up' | 'breaks' | 'mended'
}

/** Fleet with its organisations and their guarantees. */
export interface Deployment {
  readonly name: string
  readonly workers: readonly WorkerDescription[]
  readonly organisations: number
  readonly guarantees: readonly Guarantee[]
  /** Maximum number of tasks in a gang. */
  readonly maxTasks: number
  readonly maxGangAccelerators: number
}

const HOUR_MS = 3_600_000
const DAY_MS = 24 * HOUR_MS
const MINUTE_MS = 60_000
const JOBS_PER_DAY = 800
const FAILED_PER_WORKER_DAY = 10 / 630
const RESTARTED_PER_WORKER_DAY = 58 / 630
const START_WITHIN_MS = 2_000
const TASK_CHOICES = [[1, 0.35], [2, 0.15], [4, 0.15], [8, 0.15], [16, 0.1], [32, 0.06], [64, 0.04]] as const
const ACCELERATOR_CHOICES = [[1, 0.5], [2, 0.3], [4, 0.15], [8, 0.05]] as const
/** Pairs of a fraction and its probability: a task requests this fraction of the cores and memory that belong to its accelerators. */
const SHARE_CHOICES = [[0.3, 0.4], [0.6, 0.3], [1, 0.3]] as const
/** Classes of jobs: `share` is the fraction of jobs, `length` the mean run time relative to the other classes, `target` the finish target as a multiple of `length`. */
const CLASSES = [
  { name: 'allergen-check', share: 0.3, length: 0.1, target: 12 },
  { name: 'recipe-run', share: 0.4, length: 1, target: 6 },
  { name: 'reconciliation', share: 0.3, length: 2, target: 6 }
] as const
const RUN_TIME_SIGMA = 1
const MAX_RUN_TARGET_SHARE = 0.7

function makeWorker (index: number, domain: string, rack: number, region: string, cores: number, memoryGb: number): WorkerDescription {
  return { id: `w${index}`, rack: `${domain}-r${rack}`, failureDomain: domain, region, cores, memoryGb, accelerators: 8, state: WorkerState.ready }
}

function makeSmallDeployment (name: string, domains: ReadonlyArray<readonly [string, string]>, cores: number, memoryGb: number): Deployment {
  const workers = Array.from({ length: 10 }, (_, index) => {
    const place = index % domains.length
    const [domain, region] = domains[place] ?? ['', '']
    return makeWorker(index, domain, Math.floor(index / domains.length / 3), region, cores, memoryGb)
  })
  const guarantees = [8, 8, 4, 4].map((accelerators, index) => ({ organisation: `org-${index}`, accelerators, adjacency: GangAdjacency.worker, count: 1, startWithinMs: START_WITHIN_MS }))
  return { name, workers, organisations: 4, guarantees, maxTasks: 16, maxGangAccelerators: 24 }
}

export function makeCrispWorksDeployment (): Deployment {
  return makeSmallDeployment('crisp-works', [['jihlava', 'morava'], ['trebic', 'morava'], ['pelhrimov', 'cechy']], 130, 500)
}

export function makeGuildDeployment (): Deployment {
  return makeSmallDeployment('guild', [['khi-a', 'pk-south'], ['hyd-a', 'pk-south'], ['lhr-a', 'pk-north']], 30, 130)
}

/** Creates a fleet of 630 workers in 7 failure domains and 2 regions, and 260 organisations, 85 of them with guaranteed shapes. */
export function makeLargeFleetDeployment (): Deployment {
  const workers = Array.from({ length: 630 }, (_, index) => {
    const domain = Math.floor(index / 90)
    return makeWorker(index, `d${domain}`, Math.floor(index % 90 / 3), domain < 4 ? 'north' : 'south', 130, 500)
  })
  const guarantees = Array.from({ length: 85 }, (_, index): Guarantee => {
    const base = { organisation: `org-${index}`, count: 1, startWithinMs: START_WITHIN_MS }
    if (index < 60) return { ...base, accelerators: 8, adjacency: GangAdjacency.worker }
    if (index < 80) return { ...base, accelerators: 16, adjacency: GangAdjacency.rack }
    return { ...base, accelerators: 64, adjacency: GangAdjacency.failureDomain }
  })
  return { name: 'fleet-630', workers, organisations: 260, guarantees, maxTasks: 64, maxGangAccelerators: 512 }
}

/** Creates a stream of jobs that requests the fraction `load` of the fleet's accelerator time on average. */
export function makeArrivals (deployment: Deployment, seed: number, days: number, load: number): JobArrival[] {
  const random = new SeededRandom(seed)
  const capacity = deployment.workers.reduce((sum, worker) => sum + worker.accelerators, 0)
  const times = makeArrivalTimes(random, days)
  const drafts = times.map((at, index) => makeUnscaledArrival(deployment, random, at, index))
  const work = drafts.reduce((sum, draft) => sum + draft.runMs * draft.spec.tasks * draft.spec.shape.accelerators, 0)
  const scale = load * capacity * days * DAY_MS / work
  return drafts.map(draft => applyLoadScale(draft, scale, random))
}

/** Creates the arrival times of 800 jobs a day: 120 of them arrive in three bursts of one minute, the others at times distributed uniformly over the day. */
function makeArrivalTimes (random: Random, days: number): number[] {
  const times: number[] = []
  for (let day = 0; day < days; day++) {
    const bursts = [0, 1, 2].map(() => random.sample() * DAY_MS)
    for (let job = 0; job < JOBS_PER_DAY; job++) {
      const burst = job < 120 ? bursts[job % 3] : undefined
      times.push(day * DAY_MS + (burst === undefined ? random.sample() * DAY_MS : burst + random.sample() * MINUTE_MS))
    }
  }
  return times.sort((a, b) => a - b)
}

function makeUnscaledArrival (deployment: Deployment, random: Random, at: number, index: number): JobArrival {
  const [facts] = deployment.workers
  if (facts === undefined) throw new Error('invariant: the fleet has no workers')
  const kind = pickByProbability(CLASSES.map(item => [item, item.share] as const), random)
  const accelerators = pickByProbability(ACCELERATOR_CHOICES, random)
  const wanted = Math.min(pickByProbability(TASK_CHOICES, random), deployment.maxTasks, Math.floor(deployment.maxGangAccelerators / accelerators))
  const isImpossible = random.sample() < 0.01
  const cell = { cores: facts.cores / facts.accelerators, memoryGb: facts.memoryGb / facts.accelerators }
  const share = accelerators * pickByProbability(SHARE_CHOICES, random)
  const tasks = isImpossible ? 2_000 : wanted
  const spec: JobSpec = {
    id: `job-${index}`,
    idempotencyKey: `key-${index}`,
    className: kind.name,
    organisation: `org-${Math.floor(deployment.organisations * random.sample() ** 2)}`,
    tasks,
    shape: { accelerators, cores: Math.floor(cell.cores * share), memoryGb: Math.floor(cell.memoryGb * share) },
    adjacency: pickAdjacency(tasks * accelerators),
    declaredRunMs: 1,
    finishWithinMs: kind.target * kind.length,
    isCheckpointable: random.sample() < 0.7
  }
  const length = kind.length * Math.exp(RUN_TIME_SIGMA * sampleNormal(random) - RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2)
  const runMs = Math.min(length, kind.target * kind.length * MAX_RUN_TARGET_SHARE) * (isImpossible ? 1e-6 : 1)
  const cancelAt = random.sample() < 0.02 || (index % 400 > 360 && random.sample() < 0.3) ? at + 2 * HOUR_MS : undefined
  return { at, spec, runMs, cancelAt, isFaulty: random.sample() < 0.01, isImpossible }
}

function pickAdjacency (accelerators: number): GangAdjacency {
  if (accelerators <= 8) return GangAdjacency.worker
  return accelerators <= 24 ? GangAdjacency.rack : GangAdjacency.failureDomain
}

/** Scales the run time and finish target of a job, and sets its declared run time: up to ten times too long or too short. */
function applyLoadScale (draft: JobArrival, scale: number, random: Random): JobArrival {
  const runMs = draft.runMs * scale
  const declaredRunMs = runMs * 10 ** (2 * random.sample() - 1)
  return { ...draft, runMs, spec: { ...draft.spec, declaredRunMs, finishWithinMs: draft.spec.finishWithinMs * scale } }
}

function pickByProbability<T> (choices: ReadonlyArray<readonly [T, number]>, random: Random): T {
  let remainder = random.sample()
  for (const [value, share] of choices) {
    remainder -= share
    if (remainder < 0) return value
  }
  const last = choices.at(-1)
  if (last === undefined) throw new Error('invariant: the list of choices is empty')
  return last[0]
}

function sampleNormal (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.sample())) * Math.cos(2 * Math.PI * random.sample())
}

/**
 * Creates failures and restarts of single workers, the failure of one rack, and one worker on which all tasks fail for six hours. Failure
 * and restart rates per worker are those of a fleet of 630 workers.
 */
export function makeWorkerEvents (deployment: Deployment, seed: number, days: number): WorkerEvent[] {
  const random = new SeededRandom(seed + 1)
  const events: WorkerEvent[] = []
  const addOutage = (workerId: string, at: number, lengthMs: number): void => {
    events.push({ at, workerId, kind: 'down' }, { at: at + lengthMs, workerId, kind: 'up' })
  }
  for (const worker of deployment.workers) {
    if (random.sample() < FAILED_PER_WORKER_DAY * days) addOutage(worker.id, random.sample() * days * DAY_MS, 4 * HOUR_MS)
    if (random.sample() < RESTARTED_PER_WORKER_DAY * days) addOutage(worker.id, random.sample() * days * DAY_MS, 5 * MINUTE_MS)
  }
  const rack = deployment.workers[random.pick(deployment.workers.length)]?.rack
  for (const worker of deployment.workers) if (worker.rack === rack) addOutage(worker.id, days * DAY_MS / 2, HOUR_MS)
  const broken = deployment.workers[random.pick(deployment.workers.length)]
  if (broken !== undefined) events.push({ at: days * DAY_MS / 3, workerId: broken.id, kind: 'breaks' }, { at: days * DAY_MS / 3 + 6 * HOUR_MS, workerId: broken.id, kind: 'mended' })
  return events.sort((a, b) => a.at - b.at)
}
