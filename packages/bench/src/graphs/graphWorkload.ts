/**
 * Generates seeded loads of job graphs for a fleet from many organisations, with bursts. A load consists of classes of jobs; the sets of classes are
 * those of the example deployments.
 */
import { SeededRandom } from '@dragonflylever/core'
import type { Random } from '@dragonflylever/core'
import type { JobGraph, OrganisationGuarantee, PlannerPolicy, QueuePolicy, StepSpec } from '@dragonflylever/core/graphs/index'

/** A job, its arrival time, and the run time of its tasks on a healthy worker near the data, which the planner does not know. Times are in milliseconds. */
export interface GraphArrival {
  readonly at: number
  readonly graph: JobGraph
  readonly runMs: readonly number[]
}

/** Options of {@link makeGraphLoad}. */
export interface GraphLoadOptions {
  readonly seed: number
  readonly workers: number
  readonly seconds: number
  /** Arrival rate relative to the load for which the fleet is built. */
  readonly load: number
  /** Spans of time during which more jobs of a queue arrive, urgent jobs when none is given; `factor` multiplies their rate. */
  readonly bursts: readonly Burst[]
  /** Classes of the jobs; {@link CRISP_WORKS_CLASSES} when absent. */
  readonly classes?: readonly JobClass[]
  /** {@link WORKERS_PER_RACK} when absent. */
  readonly workersPerRack?: number
  /** How the arrivals swing; they are steady when absent. */
  readonly swing?: Swing
}

/** Arrivals from several failure domains with equal mean rates, each of which swings as a sine with a random phase. Data lies in the domain of its job. */
export interface Swing {
  readonly domains: number
  /** Amplitude as a share of the mean rate. */
  readonly share: number
  readonly periodMs: number
}

export interface Burst {
  readonly fromMs: number
  readonly toMs: number
  readonly factor: number
  readonly queue?: string
}

export interface GraphLoad {
  readonly arrivals: readonly GraphArrival[]
  readonly policy: PlannerPolicy
}

/** Wall time of the start of the simulation, in milliseconds since 1970. */
export const WALL_START = 1_700_000_000_000
/** Fleet size to which the arrival rates of the classes refer. */
const REFERENCE_WORKERS = 160
const ORGANISATIONS = 24
const DISCARDED_NUMBERS = 50
const ORGANISATION_SKEW = 1.2
const ACCELERATORS_PER_WORKER = 8
/** Share of the fleet's accelerators that is guaranteed to organisations. */
const GUARANTEED_SHARE = 0.62
export const WORKERS_PER_RACK = 12
const ACCELERATOR_CHOICES = [1, 2, 4, 8, 8] as const

/** One class of jobs; `perSecond` is its rate of arrival at a fleet of {@link REFERENCE_WORKERS} workers. */
export interface JobClass {
  readonly queue: QueuePolicy
  readonly perSecond: number
  readonly width: { readonly mean: number, readonly sigma: number, readonly max: number }
  readonly runMs: { readonly mean: number, readonly sigma: number, readonly max: number }
  readonly needs: { readonly cpuMillis: number, readonly memoryMb: number }
  readonly accelerators: readonly number[]
  readonly isGang: boolean
  readonly sameRackShare: number
  readonly dataRackShare: number
  readonly checkpointingShare: number
  /** Standard deviation of the logarithm of the declared run time relative to the actual one. */
  readonly declaredSigma: number
  /** Share of jobs with a second step like the first, which starts after it; none when absent. */
  readonly secondStepShare?: number
}

function makeQueue (name: string, priority: number, stretch: number, targetLatencyMs: number): QueuePolicy {
  return { name, service: 's', priority, maxAttempts: 3, stretch, targetLatencyMs }
}

export const URGENT_QUEUE = makeQueue('allergen-check', 0, 1.5, 600)
/** Gangs of urgent checks, wide gangs of preparation runs, and reconciliations of many single tasks, for workers of 128 cores. */
export const CRISP_WORKS_CLASSES: readonly JobClass[] = [
  { queue: makeQueue('roast-recipe', 1, 3, 1_500), perSecond: 0.585, width: { mean: 13, sigma: 0.8, max: 76 }, runMs: { mean: 12_143, sigma: 0.3, max: 15_700 }, needs: { cpuMillis: 52_000, memoryMb: 150_000 }, accelerators: ACCELERATOR_CHOICES, isGang: true, sameRackShare: 0.6, dataRackShare: 0.3, checkpointingShare: 0.45, declaredSigma: 0.2 },
  { queue: URGENT_QUEUE, perSecond: 2.93, width: { mean: 5.3, sigma: 0.8, max: 32 }, runMs: { mean: 3_571, sigma: 0.5, max: 11_400 }, needs: { cpuMillis: 15_000, memoryMb: 61_000 }, accelerators: ACCELERATOR_CHOICES, isGang: true, sameRackShare: 0.8, dataRackShare: 0, checkpointingShare: 0, declaredSigma: 0.2 },
  { queue: makeQueue('delivery-recon', 2, 3, 3_000), perSecond: 0.459, width: { mean: 38, sigma: 0.8, max: 230 }, runMs: { mean: 13_571, sigma: 0.3, max: 15_700 }, needs: { cpuMillis: 11_000, memoryMb: 59_000 }, accelerators: [1], isGang: false, sameRackShare: 0, dataRackShare: 0.12, checkpointingShare: 0.45, declaredSigma: 0.9 }
]

/** Gangs of urgent matches, gangs of ledger reconciliations, and reindexing in many single tasks, for workers of 32 cores. */
export const GUILD_CLASSES: readonly JobClass[] = [
  { queue: makeQueue('ledger-recon', 1, 3, 1_500), perSecond: 0.99, width: { mean: 7.7, sigma: 0.8, max: 46 }, runMs: { mean: 15_714, sigma: 0.3, max: 15_714 }, needs: { cpuMillis: 13_000, memoryMb: 19_000 }, accelerators: ACCELERATOR_CHOICES, isGang: true, sameRackShare: 0.6, dataRackShare: 0.3, checkpointingShare: 0.45, declaredSigma: 0.5 },
  { queue: makeQueue('urgent-match', 0, 1.5, 600), perSecond: 4.41, width: { mean: 4.7, sigma: 0.8, max: 28 }, runMs: { mean: 3_571, sigma: 0.5, max: 11_400 }, needs: { cpuMillis: 3_700, memoryMb: 5_500 }, accelerators: ACCELERATOR_CHOICES, isGang: true, sameRackShare: 0.8, dataRackShare: 0, checkpointingShare: 0, declaredSigma: 0.9 },
  { queue: makeQueue('skill-index', 2, 3, 3_000), perSecond: 0.746, width: { mean: 30, sigma: 0.8, max: 180 }, runMs: { mean: 13_571, sigma: 0.3, max: 15_700 }, needs: { cpuMillis: 2_800, memoryMb: 5_700 }, accelerators: [1], isGang: false, sameRackShare: 0, dataRackShare: 0.12, checkpointingShare: 0.45, declaredSigma: 0.9 }
]

/** Workers, capacity, racks and swing of the deployment whose workers differ in speed; see {@link UNEVEN_CLASSES}. */
export const UNEVEN_FLEET = {
  workers: 60,
  workersPerRack: 5,
  capacity: { cpuMillis: 32_000, memoryMb: 131_072, accelerators: 8 },
  swing: { domains: 3, share: 0.55, periodMs: 13_000 }
}
const POWERS_OF_TWO = [1, 2, 4, 8] as const

/** Short urgent gangs, gangs of few tasks that take much memory, and wide steps of single tasks, for workers of 32 cores and 128 GB. */
export const UNEVEN_CLASSES: readonly JobClass[] = [
  { queue: makeQueue('gang', 1, 3, 1_502), perSecond: 0.656, width: { mean: 6, sigma: 0.8, max: 36 }, runMs: { mean: 13_400, sigma: 0.3, max: 40_000 }, needs: { cpuMillis: 13_000, memoryMb: 69_632 }, accelerators: POWERS_OF_TWO, isGang: true, sameRackShare: 0.6, dataRackShare: 0.3, checkpointingShare: 0.45, declaredSigma: 0.2 },
  { queue: makeQueue('urgent', 0, 1.5, 603), perSecond: 2.08, width: { mean: 5, sigma: 0.8, max: 30 }, runMs: { mean: 3_000, sigma: 0.5, max: 11_400 }, needs: { cpuMillis: 3_700, memoryMb: 20_480 }, accelerators: POWERS_OF_TWO, isGang: true, sameRackShare: 0.8, dataRackShare: 0, checkpointingShare: 0, declaredSigma: 0.2 },
  { queue: makeQueue('wide', 2, 3, 3_002), perSecond: 0.307, width: { mean: 39, sigma: 0.8, max: 230 }, runMs: { mean: 11_600, sigma: 0.3, max: 35_000 }, needs: { cpuMillis: 2_800, memoryMb: 15_360 }, accelerators: [1], isGang: false, sameRackShare: 0, dataRackShare: 0.12, checkpointingShare: 0.45, declaredSigma: 0.9, secondStepShare: 0.3 }
]

/** Generates the arrivals of all classes, sorted by time, and the policy with the organisations' guarantees. */
export function makeGraphLoad (options: GraphLoadOptions): GraphLoad {
  const random = createRandom(options.seed)
  const classes = options.classes ?? CRISP_WORKS_CLASSES
  const arrivals = classes.flatMap(jobClass => makeClassArrivals(jobClass, options, random))
  arrivals.sort((a, b) => a.at - b.at)
  return { arrivals, policy: { queues: classes.map(jobClass => jobClass.queue), guarantees: makeGuarantees(options.workers) } }
}

/** Creates a generator and discards its first numbers, which are similar for similar seeds. */
function createRandom (seed: number): Random {
  const random = new SeededRandom(seed)
  for (let index = 0; index < DISCARDED_NUMBERS; index++) random.sample()
  return random
}

function makeClassArrivals (jobClass: JobClass, options: GraphLoadOptions, random: Random): GraphArrival[] {
  const perMs = jobClass.perSecond * options.load * options.workers / REFERENCE_WORKERS / 1_000
  const racks = Math.ceil(options.workers / (options.workersPerRack ?? WORKERS_PER_RACK))
  const { swing } = options
  const phases = Array.from({ length: swing?.domains ?? 0 }, () => random.sample())
  const arrivals: GraphArrival[] = []
  for (let at = 0; ;) {
    const burst = options.bursts.find(({ queue, fromMs, toMs }) => isBurstOf(jobClass, queue) && at >= fromMs && at < toMs)
    const factor = (burst?.factor ?? 1) * (1 + (swing?.share ?? 0))
    at += -Math.log(1 - random.sample()) / (perMs * factor)
    if (at >= options.seconds * 1_000) return arrivals
    const domainRacks = swing === undefined ? { first: 0, count: racks } : pickDomainRacks(swing, phases, at, racks, random)
    if (domainRacks !== undefined) arrivals.push(makeArrival(jobClass, `${jobClass.queue.name}-${arrivals.length}`, at, domainRacks, random))
  }
}

/** Racks with consecutive numbers. */
interface RackRange {
  readonly first: number
  readonly count: number
}

/** Picks the failure domain of a possible arrival and returns its racks; undefined if nothing arrives, so that the rate follows the swing of the domain. */
function pickDomainRacks (swing: Swing, phases: readonly number[], at: number, racks: number, random: Random): RackRange | undefined {
  const domain = random.pick(swing.domains)
  const rate = 1 + swing.share * Math.sin(2 * Math.PI * (at / swing.periodMs + (phases[domain] ?? 0)))
  if (random.sample() * (1 + swing.share) >= rate) return undefined
  const first = Math.floor(racks * domain / swing.domains)
  return { first, count: Math.floor(racks * (domain + 1) / swing.domains) - first }
}

function isBurstOf (jobClass: JobClass, queue: string | undefined): boolean {
  return queue === undefined ? jobClass.queue.priority === 0 : jobClass.queue.name === queue
}

function makeArrival (jobClass: JobClass, id: string, at: number, dataRacks: RackRange, random: Random): GraphArrival {
  const runMs = Math.min(jobClass.runMs.max, sampleLogNormal(random, jobClass.runMs.mean, jobClass.runMs.sigma))
  const step: StepSpec = {
    count: Math.max(1, Math.min(jobClass.width.max, Math.round(sampleLogNormal(random, jobClass.width.mean, jobClass.width.sigma)))),
    ...jobClass.needs,
    accelerators: jobClass.accelerators[random.pick(jobClass.accelerators.length)] ?? 1,
    estimatedMs: runMs * Math.exp(sampleNormal(random) * jobClass.declaredSigma),
    after: [],
    isCheckpointing: random.sample() < jobClass.checkpointingShare,
    isGang: jobClass.isGang,
    isSameRack: random.sample() < jobClass.sameRackShare,
    ...(random.sample() < jobClass.dataRackShare ? { dataRack: `r${dataRacks.first + random.pick(dataRacks.count)}` } : {}),
    isSpeculative: false,
    isLongRunning: false,
    isFilling: false,
    mayMiss: 0
  }
  const organisation = pickOrganisation(random)
  const hasSecondStep = jobClass.secondStepShare !== undefined && random.sample() < jobClass.secondStepShare
  const steps = hasSecondStep ? [step, { ...step, after: [0] }] : [step]
  return { at, graph: { id, organisation, queue: jobClass.queue, payload: '', steps, acceptedAt: WALL_START + at }, runMs: steps.map(() => runMs) }
}

function makeGuarantees (workers: number): OrganisationGuarantee[] {
  const weights = Array.from({ length: ORGANISATIONS }, (_, index) => 1 / (index + 1) ** ORGANISATION_SKEW)
  const sum = weights.reduce((total, weight) => total + weight, 0)
  const accelerators = workers * ACCELERATORS_PER_WORKER * GUARANTEED_SHARE
  return weights.map((weight, index) => ({ organisation: `o${index}`, accelerators: Math.floor(accelerators * weight / sum) }))
}

function pickOrganisation (random: Random): string {
  const weights = Array.from({ length: ORGANISATIONS }, (_, index) => 1 / (index + 1) ** ORGANISATION_SKEW)
  let left = random.sample() * weights.reduce((total, weight) => total + weight, 0)
  const index = weights.findIndex(weight => (left -= weight) < 0)
  return `o${Math.max(0, index)}`
}

function sampleNormal (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.sample())) * Math.cos(2 * Math.PI * random.sample())
}

/** Samples a log-normal distribution with the given mean; `sigma` is the standard deviation of the logarithm. */
function sampleLogNormal (random: Random, mean: number, sigma: number): number {
  return mean * Math.exp(sampleNormal(random) * sigma - sigma * sigma / 2)
}
