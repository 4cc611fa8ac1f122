/**
 * Choice of the agent for a request. Implementations are pure decisions over what the entry has seen of its agents.
 */

/** What an entry knows of one agent; load fields come piggybacked on its answers. */
export interface Candidate {
  readonly agentId: string
  readonly region: string
  readonly failureDomain: string
  /** Slots of the endpoint. */
  readonly slots: number
  /** Requests running and waiting at the agent when it last said. */
  readonly reportedLoad: number
  /** Requests this entry has in flight to the agent. */
  readonly inFlight: number
  /** Most requests this entry may have in flight to the agent. */
  readonly maxInFlight: number
}

/** The part of a request that routing looks at. */
export interface RoutedRequest {
  readonly className: string
  readonly organisation: string
  readonly deadlineAt: number
  /** Agents that were tried already. */
  readonly tried: ReadonlySet<string>
  /** Bytes that the request puts on the wire. */
  readonly bodyBytes: number
}

/** How one attempt at an agent ended, for learning. */
export interface AttemptReport {
  readonly agentId: string
  readonly className: string
  readonly kind: 'answered' | 'failedFast' | 'refused' | 'lost'
  readonly latencyMs: number
}

/** Picks agents and learns from how attempts end. */
export interface Router {
  /** Picks an agent; undefined when none may take the request now. */
  pick (request: RoutedRequest, candidates: readonly Candidate[], now: number): Candidate | undefined
  /** True when some agent should get another request now, whatever its class; absent when only the bound on requests in flight counts. */
  hasRoom? (candidates: readonly Candidate[], now: number): boolean
  /** Notes how an attempt ended. */
  report (report: AttemptReport, now: number): void
}
