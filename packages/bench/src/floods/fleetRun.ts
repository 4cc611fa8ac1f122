/**
 * Simulates one run: a fleet of fake entries and agents under one policy, with streams of requests.
 */
import { SeededRandom } from '@dragonflylever/core'
import type { QueuedRequest, Random } from '@dragonflylever/core'

import { FakeAgent } from './fakeAgent.js'
import { FakeEntry } from './fakeEntry.js'
import type { Policy } from './policies.js'
import { StreamRecorder } from './streamRecorder.js'
import type { StreamMeasures } from './streamRecorder.js'
import { VirtualClock } from './virtualClock.js'
import { CONNECTIONS_PER_WORKER, SLOTS_PER_WORKER } from './workload.js'
import type { Deployment, FailureDomain } from './workload.js'

/** Stream of requests of one class and one organisation, sent by `callers` callers. The arrivals form a Poisson process. */
export interface Stream {
  readonly id: string
  readonly className: string
  readonly organisation: string
  readonly callers: number
  readonly requestsPerS: number
  readonly meanRunMs: number
  readonly finishWithinMs: number
  /** Virtual time from which the stream sends requests, in milliseconds. */
  readonly startsAt: number
}

export interface FleetRunOptions {
  readonly deployment: Deployment
  readonly policy: Policy
  readonly streams: readonly Stream[]
  readonly seed: number
  /** Name of a failure domain that is down during the whole run. */
  readonly lostDomain?: string | undefined
  readonly warmUpMs: number
  readonly measuredMs: number
}

export interface FleetRunResult {
  readonly streams: ReadonlyMap<string, StreamMeasures>
  readonly slots: number
}

const CONTROL_CONNECTIONS = 12
const MS_PER_S = 1_000

/** Simulates a fleet under its request streams in virtual time and returns the measurements of each stream. */
export function runFleet (options: FleetRunOptions): FleetRunResult {
  const clock = new VirtualClock()
  const random = new SeededRandom(options.seed)
  const domains = options.deployment.failureDomains.filter(({ name }) => name !== options.lostDomain)
  const agents = createAgents(options, domains, clock, random)
  const entries = domains.map(domain => createEntry(options, domains, domain, agents, clock, random))
  const recorders = new Map(options.streams.map(stream => [stream.id, new StreamRecorder()]))
  const endsAt = options.warmUpMs + options.measuredMs
  for (const stream of options.streams) {
    startStream({ stream, entries, clock, recorder: recorders.get(stream.id) as StreamRecorder, random: new SeededRandom(options.seed + computeSeedOffset(stream.id)), measuredFrom: options.warmUpMs, endsAt })
  }
  clock.advance(endsAt + Math.max(...options.streams.map(({ finishWithinMs }) => finishWithinMs)) + MS_PER_S)
  return { streams: new Map([...recorders].map(([id, recorder]) => [id, recorder.computeMeasures()])), slots: agents.length * SLOTS_PER_WORKER }
}

function createAgents (options: FleetRunOptions, domains: readonly FailureDomain[], clock: VirtualClock, random: Random): FakeAgent[] {
  const workers = domains.reduce((sum, domain) => sum + domain.workers, 0)
  return domains.flatMap(domain => Array.from({ length: domain.workers }, (_, index) => {
    const context = { deployment: options.deployment, workers, entries: domains.length, localEntries: countRegionDomains(domains, domain), region: domain.region, random }
    const place = { agentId: `${domain.name}-${index}`, region: domain.region, failureDomain: domain.name }
    return new FakeAgent(place, clock, options.policy.createAgentQueue(context))
  }))
}

function createEntry (options: FleetRunOptions, domains: readonly FailureDomain[], domain: FailureDomain, agents: readonly FakeAgent[], clock: VirtualClock, random: Random): FakeEntry {
  const { deployment, policy } = options
  const context = { deployment, workers: agents.length, entries: domains.length, localEntries: countRegionDomains(domains, domain), region: domain.region, random }
  return new FakeEntry({
    clock,
    queue: policy.createEntryQueue(context),
    router: policy.createRouter(context),
    agents,
    region: domain.region,
    maxInFlight: Math.floor((CONNECTIONS_PER_WORKER - CONTROL_CONNECTIONS) / domains.length),
    slots: SLOTS_PER_WORKER,
    getLatency: agent => agent.region === domain.region ? deployment.domainLatencyMs : deployment.regionLatencyMs
  })
}

function countRegionDomains (domains: readonly FailureDomain[], domain: FailureDomain): number {
  return domains.filter(({ region }) => region === domain.region).length
}

interface StreamRun {
  readonly stream: Stream
  readonly entries: readonly FakeEntry[]
  readonly clock: VirtualClock
  readonly recorder: StreamRecorder
  readonly random: Random
  readonly measuredFrom: number
  readonly endsAt: number
}

function startStream (run: StreamRun): void {
  let sent = 0
  const sendNext = (): void => {
    if (run.clock.now >= run.endsAt) return
    sendRequest(run, sent++)
    run.clock.schedule(sampleExponential(run.random, MS_PER_S / run.stream.requestsPerS), sendNext)
  }
  run.clock.schedule(run.stream.startsAt + sampleExponential(run.random, MS_PER_S / run.stream.requestsPerS), sendNext)
}

function sendRequest (run: StreamRun, index: number): void {
  const { stream, clock, recorder, random } = run
  const arrivedAt = clock.now
  const runMs = Math.max(1, sampleExponential(random, stream.meanRunMs))
  const request: QueuedRequest = {
    id: `${stream.id}/${index}`,
    className: stream.className,
    organisation: stream.organisation,
    caller: `${stream.id}/${random.pick(stream.callers)}`,
    arrivedAt,
    deadlineAt: arrivedAt + stream.finishWithinMs
  }
  const isMeasured = arrivedAt >= run.measuredFrom
  if (isMeasured) recorder.recordSent()
  const entry = run.entries[random.pick(run.entries.length)] as FakeEntry
  entry.receive(request, runMs, {
    onStart: () => { if (isMeasured) recorder.recordStart(clock.now - arrivedAt) },
    onEnd: outcome => {
      const isInTime = outcome === 'answered' && clock.now <= request.deadlineAt
      if (isInTime && clock.now >= run.measuredFrom && clock.now <= run.endsAt) recorder.recordUsefulRun(runMs)
      if (!isMeasured) return
      if (outcome === 'answered') recorder.recordAnswered(clock.now - arrivedAt, isInTime)
      else if (outcome === 'shed') recorder.recordShed(clock.now - arrivedAt)
      else recorder.recordExpired()
    }
  })
}

function sampleExponential (random: Random, mean: number): number {
  return -mean * Math.log(1 - random.sample())
}

function computeSeedOffset (id: string): number {
  let offset = 0
  for (const letter of id) offset = (offset * 31 + letter.charCodeAt(0)) % 1_000_003
  return offset
}
