/**
 * One run: a fleet of fakes, streams of callers, one policy.
 */
import { SeededRandom } from '@dragonflylever/core'
import type { QueuedRequest, Random } from '@dragonflylever/core'

import { FakeAgent } from './fakeAgent.js'
import { FakeEntry } from './fakeEntry.js'
import type { Policy } from './policies.js'
import { StreamTally } from './tally.js'
import type { StreamMeasures } from './tally.js'
import { VirtualClock } from './virtualClock.js'
import { CONNECTIONS_PER_WORKER, SLOTS_PER_WORKER } from './workload.js'
import type { Deployment, FailureDomain } from './workload.js'

/** Requests of one class and organisation from a number of callers, at random times. */
export interface Stream {
  readonly id: string
  readonly className: string
  readonly organisation: string
  readonly callers: number
  readonly requestsPerS: number
  readonly meanRunMs: number
  readonly finishWithinMs: number
  /** Time of its first request. */
  readonly startsAt: number
}

export interface FleetRunOptions {
  readonly deployment: Deployment
  readonly policy: Policy
  readonly streams: readonly Stream[]
  readonly seed: number
  /** Failure domain that is gone from the start. */
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

/** Runs a fleet under virtual time. */
export function runFleet (options: FleetRunOptions): FleetRunResult {
  const clock = new VirtualClock()
  const random = new SeededRandom(options.seed)
  const domains = options.deployment.failureDomains.filter(({ name }) => name !== options.lostDomain)
  const agents = createAgents(options, domains, clock, random)
  const entries = domains.map(domain => createEntry(options, domains, domain, agents, clock, random))
  const tallies = new Map(options.streams.map(stream => [stream.id, new StreamTally()]))
  const endsAt = options.warmUpMs + options.measuredMs
  for (const stream of options.streams) {
    startStream({ stream, entries, clock, tally: tallies.get(stream.id) as StreamTally, random: new SeededRandom(options.seed + computeOffset(stream.id)), measuredFrom: options.warmUpMs, endsAt })
  }
  clock.advance(endsAt + Math.max(...options.streams.map(({ finishWithinMs }) => finishWithinMs)) + MS_PER_S)
  return { streams: new Map([...tallies].map(([id, tally]) => [id, tally.describe()])), slots: agents.length * SLOTS_PER_WORKER }
}

function createAgents (options: FleetRunOptions, domains: readonly FailureDomain[], clock: VirtualClock, random: Random): FakeAgent[] {
  const workers = domains.reduce((sum, domain) => sum + domain.workers, 0)
  return domains.flatMap(domain => Array.from({ length: domain.workers }, (_, index) => {
    const context = { deployment: options.deployment, workers, entries: domains.length, localEntries: countLocal(domains, domain), region: domain.region, random }
    const place = { agentId: `${domain.name}-${index}`, region: domain.region, failureDomain: domain.name }
    return new FakeAgent(place, clock, options.policy.createAgentQueue(context))
  }))
}

function createEntry (options: FleetRunOptions, domains: readonly FailureDomain[], domain: FailureDomain, agents: readonly FakeAgent[], clock: VirtualClock, random: Random): FakeEntry {
  const { deployment, policy } = options
  const context = { deployment, workers: agents.length, entries: domains.length, localEntries: countLocal(domains, domain), region: domain.region, random }
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

function countLocal (domains: readonly FailureDomain[], domain: FailureDomain): number {
  return domains.filter(({ region }) => region === domain.region).length
}

interface StreamRun {
  readonly stream: Stream
  readonly entries: readonly FakeEntry[]
  readonly clock: VirtualClock
  readonly tally: StreamTally
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
  const { stream, clock, tally, random } = run
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
  if (isMeasured) tally.noteSent()
  const entry = run.entries[random.pick(run.entries.length)] as FakeEntry
  entry.receive(request, runMs, {
    onStart: () => { if (isMeasured) tally.noteStart(clock.now - arrivedAt) },
    onEnd: outcome => {
      const isInTime = outcome === 'answered' && clock.now <= request.deadlineAt
      if (isInTime && clock.now >= run.measuredFrom && clock.now <= run.endsAt) tally.noteUseful(runMs)
      if (!isMeasured) return
      if (outcome === 'answered') tally.noteAnswered(clock.now - arrivedAt, isInTime)
      else if (outcome === 'shed') tally.noteShed(clock.now - arrivedAt)
      else tally.noteExpired()
    }
  })
}

function sampleExponential (random: Random, mean: number): number {
  return -mean * Math.log(1 - random.sample())
}

function computeOffset (id: string): number {
  let offset = 0
  for (const letter of id) offset = (offset * 31 + letter.charCodeAt(0)) % 1_000_003
  return offset
}
