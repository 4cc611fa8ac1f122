/**
 * Fairness experiment: latency and goodput of a caller next to two other callers ("branches") that send far more requests, in the same or
 * another organisation; and how evenly callers, and organisations, of equal demand are served when the fleet is overloaded.
 */
import type { Bench, BenchOptions } from '../bench.js'
import { runFleet } from './fleetRun.js'
import type { FleetRunResult, Stream } from './fleetRun.js'
import { countSlots, createStream } from './floodScenarios.js'
import { createBaselines, createFairPolicy } from './policies.js'
import type { Policy } from './policies.js'
import { roundNumber } from './streamRecorder.js'
import { DEPLOYMENTS } from './workload.js'
import type { Deployment, WorkClass } from './workload.js'

const WARM_UP_MS = 10_000
const MEASURED_MS = 60_000
const QUICK_MEASURED_MS = 10_000
const LONE_REQUESTS_PER_S = 5
const BRANCHES = 2
const EQUAL_CALLERS = 8
const EQUAL_CALLERS_LOAD = 4
const MS_PER_S = 1_000

/** Latency and goodput of the lone caller under one policy, alone and next to the branches. */
interface LoneCallerResult {
  readonly policy: string
  readonly deployment: string
  readonly place: 'same organisation' | 'other organisation'
  readonly times: number
  readonly aloneP99Ms: number
  readonly besideP99Ms: number
  readonly p99Ratio: number
  readonly keptShare: number
}

interface RunContext {
  readonly policy: Policy
  readonly deployment: Deployment
  readonly seed: number
  readonly measuredMs: number
}

function runStreams (context: RunContext, streams: readonly Stream[]): FleetRunResult {
  return runFleet({ ...context, streams, warmUpMs: WARM_UP_MS })
}

function createLoneStream (workClass: WorkClass): Stream {
  const slots = LONE_REQUESTS_PER_S * workClass.meanRunMs / MS_PER_S
  return createStream('lone', workClass, 'small', slots, 1, 0)
}

function runLoneCaller (context: RunContext): LoneCallerResult[] {
  const workClass = context.deployment.classes[0] as WorkClass
  const lone = createLoneStream(workClass)
  const alone = runStreams(context, [lone]).streams.get('lone')
  const results: LoneCallerResult[] = []
  for (const place of ['same organisation', 'other organisation'] as const) {
    for (const times of [100, 1_000]) {
      const organisation = place === 'same organisation' ? 'small' : 'large-one'
      const slots = LONE_REQUESTS_PER_S * times * workClass.meanRunMs / MS_PER_S
      const branches = Array.from({ length: BRANCHES }, (_, index) => createStream(`branch-${index}`, workClass, organisation, slots, 1, 0))
      const beside = runStreams(context, [lone, ...branches]).streams.get('lone')
      const aloneP99Ms = alone?.p99Ms ?? 0
      const besideP99Ms = beside?.p99Ms ?? 0
      results.push({
        policy: context.policy.name,
        deployment: context.deployment.name,
        place,
        times,
        aloneP99Ms: roundNumber(aloneP99Ms, 0),
        besideP99Ms: roundNumber(besideP99Ms, 0),
        p99Ratio: roundNumber(besideP99Ms / aloneP99Ms, 2),
        keptShare: roundNumber((beside?.inTime ?? 0) / Math.max(1, alone?.inTime ?? 0))
      })
    }
  }
  return results
}

/**
 * Measures how evenly streams of one class are served that have the same demand and always have requests waiting. The first run has several
 * callers of one organisation, the second one caller in each organisation without a guarantee.
 */
function runEqualDemandStreams (context: RunContext): object {
  const workClass = context.deployment.classes[0] as WorkClass
  const slots = countSlots(context.deployment) * EQUAL_CALLERS_LOAD
  const callers = Array.from({ length: EQUAL_CALLERS }, (_, index) => createStream(`equal-${index}`, workClass, 'small', slots / EQUAL_CALLERS, 1, 0))
  const names = context.deployment.organisations.filter(({ guaranteedSlots }) => guaranteedSlots === 0).map(({ name }) => name)
  const organisations = [...names, 'undeclared'].map(name => createStream(`organisation-${name}`, workClass, name, slots / 2, 1, 0))
  return {
    policy: context.policy.name,
    deployment: context.deployment.name,
    jainOverCallers: computeJainIndex(runStreams(context, callers)),
    jainOverOrganisations: computeJainIndex(runStreams(context, organisations))
  }
}

/** Computes Jain's fairness index of the numbers of answers in time; 1 means that all streams got the same number. */
function computeJainIndex (result: FleetRunResult): number {
  const counts = [...result.streams.values()].map(({ inTime }) => inTime)
  const sum = counts.reduce((total, count) => total + count, 0)
  const squares = counts.reduce((total, count) => total + count * count, 0)
  return roundNumber(sum * sum / Math.max(1, counts.length * squares))
}

async function runBench (options: BenchOptions): Promise<object> {
  const measuredMs = options.isQuick ? QUICK_MEASURED_MS : MEASURED_MS
  const lone: LoneCallerResult[] = []
  const equals: object[] = []
  for (const policy of [createFairPolicy(), ...createBaselines()]) {
    for (const deployment of DEPLOYMENTS) {
      options.printProgress(`${policy.name}, ${deployment.name}`)
      const context = { policy, deployment, seed: options.seed, measuredMs }
      lone.push(...runLoneCaller(context))
      equals.push(runEqualDemandStreams(context))
    }
  }
  return { measuredMs, lone, equals }
}

export const fairnessBench: Bench = {
  name: 'fairness',
  help: 'a lone caller next to branches that send far more, and how evenly equal backlogged callers are served',
  run: runBench
}
