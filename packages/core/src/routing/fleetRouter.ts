/**
 * Routes requests to agents by the power of two choices: the less loaded one of two random agents, preferably in the entry's region.
 * Agents that fail more often than the others are left out. Another region is used only when the entry's region has no capacity
 * in time and the byte budget of the region link allows it.
 */
import type { Random } from '../random.js'
import type { AttemptReport, Candidate, RoutedRequest, Router } from '../router.js'
import { LoadEstimate } from './loadEstimate.js'
import { OutlierEjection } from './outlierEjection.js'
import { TokenBucket } from './tokenBucket.js'

/** Region of the entry, its source of random numbers, and properties of the link to other regions. */
export interface FleetRouterOptions {
  readonly region: string
  readonly random: Random
  /** Bytes per second that this entry may cause on the region link, answers included. */
  readonly linkBytesPerSecond: number
  /** Round-trip time to another region in milliseconds. */
  readonly linkRoundTripMs?: number
}

const LINK_ROUND_TRIP_MS = 60
/** Expected size of an answer and all headers on the link, in bytes. */
const ANSWER_BYTES = 2_048
/** Half-lives of the estimated load from other entries, in milliseconds. Across the link it decays slowly, so that a full region is rarely tried. */
const LOCAL_HALF_LIFE_MS = 500
const LINK_HALF_LIFE_MS = 10_000
/** Maximum age of a load report from another region for it to be used, in milliseconds. */
const LINK_REPORT_MAX_AGE_MS = 500
const LATENCY_WEIGHT = 0.1
/** Round-trip time within the region in milliseconds. */
const LOCAL_ROUND_TRIP_MS = 4
/** Maximum number of requests that may wait at an agent, relative to its slots. Some wait there so that no slot idles for a round trip. */
const MAX_WAITING_SHARE = 0.25
const MAX_CLASSES = 256

export class FleetRouter implements Router {
  private readonly _options: FleetRouterOptions
  private readonly _loads = new Map<string, LoadEstimate>()
  private readonly _latencies = new Map<string, number>()
  private readonly _ejection = new OutlierEjection()
  private readonly _linkBudget: TokenBucket
  private _meanLatencyMs = 0
  private _localEntries = 1

  constructor (options: FleetRouterOptions) {
    this._options = options
    this._linkBudget = new TokenBucket(options.linkBytesPerSecond)
  }

  pick (request: RoutedRequest, candidates: readonly Candidate[], now: number): Candidate | undefined {
    if (this._loads.size > candidates.length) this._dropRemovedAgents(candidates)
    const usable = candidates.filter(candidate => this._isUsable(candidate, request, now))
    const local = usable.filter(candidate => candidate.region === this._options.region)
    const localPick = this._pickOfTwo(local.filter(candidate => this._hasCapacity(candidate, now)), now)
    if (localPick !== undefined && this._isDeadlineReachable(localPick, request, 0, now)) return localPick
    return this._pickRemote(request, usable, now) ?? localPick ?? this._pickOfTwo(local, now)
  }

  hasRoom (candidates: readonly Candidate[], now: number): boolean {
    const hasLinkBudget = this._linkBudget.has(ANSWER_BYTES, now)
    return candidates.some(candidate => {
      if (candidate.region !== this._options.region && !hasLinkBudget) return false
      return candidate.inFlight < candidate.maxInFlight && this._hasCapacity(candidate, now) && this._ejection.isAvailable(candidate.agentId, candidate.inFlight, now)
    })
  }

  /** Sets the number of entries in the region, and the bytes per second that this entry may cause on the region link. */
  setRegionLimits (localEntries: number, linkBytesPerSecond: number): void {
    this._localEntries = Math.max(1, localEntries)
    this._linkBudget.setRate(linkBytesPerSecond)
  }

  report (report: AttemptReport, now: number): void {
    this._ejection.record(report, now)
    if (report.kind !== 'lost') this._loads.get(report.agentId)?.markReported()
    if (report.kind === 'answered') this._recordLatency(report)
  }

  private _pickRemote (request: RoutedRequest, usable: readonly Candidate[], now: number): Candidate | undefined {
    const roundTripMs = this._options.linkRoundTripMs ?? LINK_ROUND_TRIP_MS
    const remote = usable.filter(candidate => candidate.region !== this._options.region && this._hasCapacity(candidate, now))
    const pick = this._pickOfTwo(remote, now)
    if (pick === undefined || !this._isDeadlineReachable(pick, request, roundTripMs, now)) return undefined
    return this._linkBudget.take(request.bodyBytes + ANSWER_BYTES, now) ? pick : undefined
  }

  /** Picks the less loaded one of two different random agents. Agents with a free slot are preferred to full ones. */
  private _pickOfTwo (candidates: readonly Candidate[], now: number): Candidate | undefined {
    const free = candidates.filter(candidate => this._computeLoad(candidate, now) < 1)
    const pool = free.length > 0 ? free : candidates
    const { random } = this._options
    const index = random.pick(pool.length)
    const first = pool[index]
    if (first === undefined || pool.length === 1) return first
    const second = pool[(index + 1 + random.pick(pool.length - 1)) % pool.length] as Candidate
    return this._computeLoad(first, now) <= this._computeLoad(second, now) ? first : second
  }

  /** True when the request is expected to finish at the agent before its deadline. */
  private _isDeadlineReachable (candidate: Candidate, request: RoutedRequest, extraMs: number, now: number): boolean {
    const load = this._computeLoad(candidate, now)
    const latencyMs = this._latencies.get(request.className) ?? 0
    return now + extraMs + latencyMs * (1 + Math.max(0, load - 1)) <= request.deadlineAt
  }

  /**
   * True when another request is expected to find a free slot, or one that is released by the time the request arrives. Within
   * its region an entry may also use its equal share of the slots while other entries fill all of them; the order is then left to
   * the agent's queue. A request from another region must not wait at an agent.
   */
  private _hasCapacity (candidate: Candidate, now: number): boolean {
    const slots = Math.max(1, candidate.slots)
    const nextLoad = this._computeLoad(candidate, now) + 1 / slots
    if (candidate.region !== this._options.region) return nextLoad <= 1 - 1 / slots && this._hasFreshReport(candidate, now)
    if (candidate.inFlight < slots / this._localEntries) return true
    return nextLoad <= 1 + Math.min(MAX_WAITING_SHARE, LOCAL_ROUND_TRIP_MS / Math.max(1, this._meanLatencyMs))
  }

  /** True when the agent's load report is recent or no request is in flight to it; without a recent report, one request at a time probes it. */
  private _hasFreshReport (candidate: Candidate, now: number): boolean {
    return candidate.inFlight === 0 || this._getLoad(candidate).isFresh(now, LINK_REPORT_MAX_AGE_MS)
  }

  private _isUsable (candidate: Candidate, request: RoutedRequest, now: number): boolean {
    if (candidate.inFlight >= candidate.maxInFlight || request.tried.has(candidate.agentId)) return false
    return this._ejection.isAvailable(candidate.agentId, candidate.inFlight, now)
  }

  private _computeLoad (candidate: Candidate, now: number): number {
    return this._getLoad(candidate).estimate(candidate, now) / Math.max(1, candidate.slots)
  }

  private _getLoad (candidate: Candidate): LoadEstimate {
    const known = this._loads.get(candidate.agentId)
    if (known !== undefined) return known
    const isLocal = candidate.region === this._options.region
    const created = new LoadEstimate(isLocal ? LOCAL_HALF_LIFE_MS : LINK_HALF_LIFE_MS)
    this._loads.set(candidate.agentId, created)
    return created
  }

  private _recordLatency (report: AttemptReport): void {
    this._meanLatencyMs += LATENCY_WEIGHT * (report.latencyMs - this._meanLatencyMs)
    const known = this._latencies.get(report.className)
    if (known === undefined && this._latencies.size >= MAX_CLASSES) return
    const latencyMs = known === undefined ? report.latencyMs : known + LATENCY_WEIGHT * (report.latencyMs - known)
    this._latencies.set(report.className, latencyMs)
  }

  private _dropRemovedAgents (candidates: readonly Candidate[]): void {
    const present = new Set(candidates.map(candidate => candidate.agentId))
    for (const agentId of this._loads.keys()) if (!present.has(agentId)) this._loads.delete(agentId)
    this._ejection.removeMissingAgents(present)
  }
}
