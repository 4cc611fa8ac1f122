/**
 * Baseline: picks agents in turn, regardless of their load, failures and region.
 */
import type { Candidate, RoutedRequest, Router } from '@dragonflylever/core'

export class RoundRobinRouter implements Router {
  private _next = 0

  pick (request: RoutedRequest, candidates: readonly Candidate[]): Candidate | undefined {
    for (let step = 0; step < candidates.length; step++) {
      const candidate = candidates[this._next++ % candidates.length]
      const isUsable = candidate !== undefined && candidate.inFlight < candidate.maxInFlight && !request.tried.has(candidate.agentId)
      if (isUsable) return candidate
    }
    return undefined
  }

  report (): void {}
}
