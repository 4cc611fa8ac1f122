/**
 * Routing of requests to agents: own region first, of two random agents the one expected to be less loaded,
 * no agent that fails more than the others, and the other region only when the request needs it and the
 * byte budget of the link allows it.
 */
import type { Random } from '../random.js'
import type { AttemptReport, Candidate, RoutedRequest, Router } from '../router.js'
import { LoadEstimate } from './loadEstimate.js'
import { OutlierEjection } from './outlierEjection.js'
import { TokenBucket } from './tokenBucket.js'

/** Where the entry stands, and what the link to other regions may carry. */
export interface FleetRouterOptions {
  readonly region: string
  readonly random: Random
  /** Bytes a second that this entry may send over the region link, answers included. */
  readonly linkBytesPerSecond: number
  /** Round trip to the other region in milliseconds. */
  readonly linkRoundTripMs?: number
}

const LINK_ROUND_TRIP_MS = 60
/** Expected size of an answer and all headers on the link. */
const ANSWER_BYTES = 2_048
/** Half-lives of the load that other entries cause. It fades slowly across the link, so that a full region is not tried often. */
const LOCAL_HALF_LIFE_MS = 500
const LINK_HALF_LIFE_MS = 10_000
/** Age up to which a report from across the link may be acted on. */
const LINK_NEWS_MS = 500
const LATENCY_WEIGHT = 0.1
/** Round trip within the region in milliseconds. */
const LOCAL_ROUND_TRIP_MS = 4
/** Most requests that may wait at an agent, as a part of its slots, so that no slot idles for a round trip. */
const MAX_WAITING_SHARE = 0.25
const MAX_CLASSES = 256

export class FleetRouter implements Router {
  private readonly _options: FleetRouterOptions
  private readonly _loads = new Map<string, LoadEstimate>()
  private readonly _latencies = new Map<string, number>()
  private readonly _ejection = new OutlierEjection()
  private readonly _link: TokenBucket
  private _meanLatencyMs = 0
  private _localEntries = 1

  constructor (options: FleetRouterOptions) {
    this._options = options
    this._link = new TokenBucket(options.linkBytesPerSecond)
  }

  pick (request: RoutedRequest, candidates: readonly Candidate[], now: number): Candidate | undefined {
    if (this._loads.size > candidates.length) this._dropGone(candidates)
    const usable = candidates.filter(candidate => this._isUsable(candidate, request, now))
    const local = usable.filter(candidate => candidate.region === this._options.region)
    const open = this._pickOfTwo(local.filter(candidate => this._isOpen(candidate, now)), now)
    if (open !== undefined && this._isInTime(open, request, 0, now)) return open
    return this._pickRemote(request, usable, now) ?? open ?? this._pickOfTwo(local, now)
  }

  hasRoom (candidates: readonly Candidate[], now: number): boolean {
    const hasLink = this._link.has(ANSWER_BYTES, now)
    return candidates.some(candidate => {
      if (candidate.region !== this._options.region && !hasLink) return false
      return candidate.inFlight < candidate.maxInFlight && this._isOpen(candidate, now) && this._ejection.accept(candidate.agentId, candidate.inFlight, now)
    })
  }

  /** Notes how many entries the region has, and the bytes a second that this one may send over the region link. */
  update (localEntries: number, linkBytesPerSecond: number): void {
    this._localEntries = Math.max(1, localEntries)
    this._link.setRate(linkBytesPerSecond)
  }

  report (report: AttemptReport, now: number): void {
    this._ejection.learn(report, now)
    if (report.kind !== 'lost') this._loads.get(report.agentId)?.note()
    if (report.kind === 'answered') this._learnLatency(report)
  }

  private _pickRemote (request: RoutedRequest, usable: readonly Candidate[], now: number): Candidate | undefined {
    const roundTripMs = this._options.linkRoundTripMs ?? LINK_ROUND_TRIP_MS
    const remote = usable.filter(candidate => candidate.region !== this._options.region && this._isOpen(candidate, now))
    const pick = this._pickOfTwo(remote, now)
    if (pick === undefined || !this._isInTime(pick, request, roundTripMs, now)) return undefined
    return this._link.take(request.bodyBytes + ANSWER_BYTES, now) ? pick : undefined
  }

  /** Of two different random agents the less loaded one; agents with a free slot go before full ones. */
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

  /** True when the request would finish there before its deadline. */
  private _isInTime (candidate: Candidate, request: RoutedRequest, extraMs: number, now: number): boolean {
    const load = this._computeLoad(candidate, now)
    const latencyMs = this._latencies.get(request.className) ?? 0
    return now + extraMs + latencyMs * (1 + Math.max(0, load - 1)) <= request.deadlineAt
  }

  /**
   * True when another request would find a free slot, or one that comes free by the time it arrives. In the own
   * region an entry may also use its equal part of the slots while other entries fill all of them: the agent's
   * queue then decides. Work from another region never waits at an agent.
   */
  private _isOpen (candidate: Candidate, now: number): boolean {
    const slots = Math.max(1, candidate.slots)
    const nextLoad = this._computeLoad(candidate, now) + 1 / slots
    if (candidate.region !== this._options.region) return nextLoad <= 1 - 1 / slots && this._hasNews(candidate, now)
    if (candidate.inFlight < slots / this._localEntries) return true
    return nextLoad <= 1 + Math.min(MAX_WAITING_SHARE, LOCAL_ROUND_TRIP_MS / Math.max(1, this._meanLatencyMs))
  }

  /** Without recent news of an agent in another region, one request at a time finds out whether it has room. */
  private _hasNews (candidate: Candidate, now: number): boolean {
    return candidate.inFlight === 0 || this._getLoad(candidate).isFresh(now, LINK_NEWS_MS)
  }

  private _isUsable (candidate: Candidate, request: RoutedRequest, now: number): boolean {
    if (candidate.inFlight >= candidate.maxInFlight || request.tried.has(candidate.agentId)) return false
    return this._ejection.accept(candidate.agentId, candidate.inFlight, now)
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

  private _learnLatency (report: AttemptReport): void {
    this._meanLatencyMs += LATENCY_WEIGHT * (report.latencyMs - this._meanLatencyMs)
    const known = this._latencies.get(report.className)
    if (known === undefined && this._latencies.size >= MAX_CLASSES) return
    const latencyMs = known === undefined ? report.latencyMs : known + LATENCY_WEIGHT * (report.latencyMs - known)
    this._latencies.set(report.className, latencyMs)
  }

  private _dropGone (candidates: readonly Candidate[]): void {
    const present = new Set(candidates.map(candidate => candidate.agentId))
    for (const agentId of this._loads.keys()) if (!present.has(agentId)) this._loads.delete(agentId)
    this._ejection.update(present)
  }
}
