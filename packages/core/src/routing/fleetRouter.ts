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
const ANSWER_BYTES = 4_096
const LATENCY_WEIGHT = 0.1
/** Requests that may wait at an agent, as a part of its slots, before it counts as full. */
const WAITING_SHARE = 0.25
const MAX_CLASSES = 256

export class FleetRouter implements Router {
  private readonly _options: FleetRouterOptions
  private readonly _loads = new Map<string, LoadEstimate>()
  private readonly _latencies = new Map<string, number>()
  private readonly _ejection = new OutlierEjection()
  private readonly _link: TokenBucket

  constructor (options: FleetRouterOptions) {
    this._options = options
    this._link = new TokenBucket({ perSecond: options.linkBytesPerSecond, capacity: options.linkBytesPerSecond })
  }

  pick (request: RoutedRequest, candidates: readonly Candidate[], now: number): Candidate | undefined {
    if (this._loads.size > candidates.length) this._dropGone(candidates)
    const usable = candidates.filter(candidate => this._isUsable(candidate, request, now))
    const local = usable.filter(candidate => candidate.region === this._options.region)
    const localPick = this._pickOfTwo(local, now)
    if (localPick !== undefined && this._isInTime(localPick, request, 0, now)) return localPick
    return this._pickRemote(request, usable, now) ?? localPick
  }

  report (report: AttemptReport, now: number): void {
    this._ejection.learn(report, now)
    if (report.kind !== 'lost') this._getLoad(report.agentId).note()
    if (report.kind === 'answered') this._learnLatency(report)
  }

  private _pickRemote (request: RoutedRequest, usable: readonly Candidate[], now: number): Candidate | undefined {
    const roundTripMs = this._options.linkRoundTripMs ?? LINK_ROUND_TRIP_MS
    const remote = usable.filter(candidate => candidate.region !== this._options.region)
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

  /** True when the agent has room and the request would finish there before its deadline. */
  private _isInTime (candidate: Candidate, request: RoutedRequest, extraMs: number, now: number): boolean {
    const load = this._computeLoad(candidate, now)
    if (load >= 1 + WAITING_SHARE) return false
    const latencyMs = this._latencies.get(request.className) ?? 0
    return now + extraMs + latencyMs * (1 + Math.max(0, load - 1)) <= request.deadlineAt
  }

  private _isUsable (candidate: Candidate, request: RoutedRequest, now: number): boolean {
    if (candidate.inFlight >= candidate.maxInFlight || request.tried.has(candidate.agentId)) return false
    return this._ejection.accept(candidate.agentId, candidate.inFlight, now)
  }

  private _computeLoad (candidate: Candidate, now: number): number {
    return this._getLoad(candidate.agentId).estimate(candidate, now) / Math.max(1, candidate.slots)
  }

  private _getLoad (agentId: string): LoadEstimate {
    const known = this._loads.get(agentId)
    if (known !== undefined) return known
    const created = new LoadEstimate()
    this._loads.set(agentId, created)
    return created
  }

  private _learnLatency (report: AttemptReport): void {
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
