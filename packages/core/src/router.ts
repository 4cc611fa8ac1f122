/**
 * Interface for the choice of the agent that gets a request. Implementations decide by the state that the entry has observed of its agents.
 */

/** State of one agent as known to an entry. The agent's answers carry its load. */
export interface Candidate {
  readonly agentId: string
  readonly region: string
  readonly failureDomain: string
  /** Number of slots of the agent's endpoint. */
  readonly slots: number
  /** Number of requests running and waiting at the agent according to its last report. */
  readonly reportedLoad: number
  /** Number of requests that this entry has in flight to the agent. */
  readonly inFlight: number
  /** Maximum number of requests that this entry may have in flight to the agent. */
  readonly maxInFlight: number
}

/** Properties of a request that routing uses. */
export interface RoutedRequest {
  readonly className: string
  readonly organisation: string
  readonly deadlineAt: number
  /** Ids of the agents that earlier attempts were sent to. */
  readonly tried: ReadonlySet<string>
  /** Size of the request on the wire, in bytes. */
  readonly bodyBytes: number
}

/** Result of one attempt at an agent, by which a router updates its estimates. */
export interface AttemptReport {
  readonly agentId: string
  readonly className: string
  readonly kind: 'answered' | 'failedFast' | 'refused' | 'lost'
  readonly latencyMs: number
}

/** Picks agents and updates its estimates by the results of attempts. */
export interface Router {
  /** Picks an agent; undefined when none may take the request now. */
  pick (request: RoutedRequest, candidates: readonly Candidate[], now: number): Candidate | undefined
  /** True when some agent can take another request of any class now. Routers whose only limit is `maxInFlight` omit this method. */
  hasRoom? (candidates: readonly Candidate[], now: number): boolean
  /** Records the result of an attempt. */
  report (report: AttemptReport, now: number): void
}
