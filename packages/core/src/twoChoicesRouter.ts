/**
 * Power of two choices (Mitzenmacher 2001): picks the less loaded one of two random agents in the entry's region.
 */
import type { Random } from './random.js'
import type { AttemptReport, Candidate, RoutedRequest, Router } from './router.js'

/** Region of the entry and its source of random numbers. */
export interface TwoChoicesOptions {
  readonly region: string
  readonly random: Random
}

export class TwoChoicesRouter implements Router {
  private readonly _options: TwoChoicesOptions

  constructor (options: TwoChoicesOptions) {
    this._options = options
  }

  pick (request: RoutedRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const usable = candidates.filter(candidate => isUsable(candidate, request))
    const local = usable.filter(candidate => candidate.region === this._options.region)
    return this._pickOfTwo(local.length > 0 ? local : usable)
  }

  report (_report: AttemptReport): void {}

  private _pickOfTwo (candidates: readonly Candidate[]): Candidate | undefined {
    const first = candidates[this._options.random.pick(candidates.length)]
    const second = candidates[this._options.random.pick(candidates.length)]
    if (first === undefined || second === undefined) return undefined
    return computeLoad(first) <= computeLoad(second) ? first : second
  }
}

function isUsable (candidate: Candidate, request: RoutedRequest): boolean {
  return candidate.inFlight < candidate.maxInFlight && !request.tried.has(candidate.agentId)
}

/** Returns the expected number of requests per slot at an agent. */
export function computeLoad (candidate: Candidate): number {
  return Math.max(candidate.reportedLoad, candidate.inFlight) / Math.max(1, candidate.slots)
}
