/**
 * Outlier ejection: excludes failing agents from routing. An agent is ejected when it fails often and clearly more often
 * than the others, for a time that doubles with each ejection. It is then on probation, with one request at a time,
 * until it has answered several requests.
 */
import type { AttemptReport } from '../router.js'

const FAILURE_WEIGHT = 0.25
const MIN_FAILURE_RATE = 0.5
const MIN_FAILURE_RATIO = 2
const BASE_EJECTION_MS = 2_000
const MAX_EJECTION_DOUBLINGS = 5
const PROBATION_ANSWERS = 5
const MAX_EJECTED_SHARE = 0.5

type EjectionState = 'serving' | 'ejected' | 'probation'

interface AgentHealth {
  failureRate: number
  state: EjectionState
  ejectedUntil: number
  ejections: number
  probationAnswersLeft: number
}

export class OutlierEjection {
  private readonly _agents = new Map<string, AgentHealth>()

  /** Drops the state of the agents that are not in `agentIds`. */
  removeMissingAgents (agentIds: ReadonlySet<string>): void {
    for (const agentId of this._agents.keys()) if (!agentIds.has(agentId)) this._agents.delete(agentId)
  }

  /** True when an agent with `inFlight` requests may get another one. */
  isAvailable (agentId: string, inFlight: number, now: number): boolean {
    const health = this._agents.get(agentId)
    if (health === undefined || health.state === 'serving') return true
    if (health.state === 'ejected' && now >= health.ejectedUntil) this._startProbation(health)
    return health.state === 'probation' && inFlight === 0
  }

  /** Updates the failure rate and the state of an agent by the result of an attempt. */
  record (report: AttemptReport, now: number): void {
    if (report.kind === 'refused') return
    const isFailure = report.kind !== 'answered'
    const health = this._agents.get(report.agentId) ?? createHealth()
    this._agents.set(report.agentId, health)
    health.failureRate += FAILURE_WEIGHT * ((isFailure ? 1 : 0) - health.failureRate)
    if (health.state === 'probation') this._recordOnProbation(health, isFailure, now)
    else if (health.state === 'serving' && this._isOutlier(report.agentId, health)) this._startEjection(health, now)
  }

  /** Returns the state of an agent, for reports. */
  getState (agentId: string): EjectionState {
    return this._agents.get(agentId)?.state ?? 'serving'
  }

  private _recordOnProbation (health: AgentHealth, isFailure: boolean, now: number): void {
    if (isFailure) {
      this._startEjection(health, now)
      return
    }
    health.probationAnswersLeft--
    if (health.probationAnswersLeft > 0) return
    health.state = 'serving'
    health.failureRate = 0
    health.ejections = Math.max(0, health.ejections - 1)
  }

  private _isOutlier (agentId: string, health: AgentHealth): boolean {
    if (health.failureRate < MIN_FAILURE_RATE) return false
    const others = [...this._agents].filter(([id]) => id !== agentId)
    const ejected = others.filter(([, other]) => other.state !== 'serving').length
    if (ejected + 1 > Math.max(1, this._agents.size * MAX_EJECTED_SHARE)) return false
    const serving = others.filter(([, other]) => other.state === 'serving')
    if (serving.length === 0) return false
    const rate = serving.reduce((sum, [, other]) => sum + other.failureRate, 0) / serving.length
    return health.failureRate >= MIN_FAILURE_RATIO * rate
  }

  private _startEjection (health: AgentHealth, now: number): void {
    health.state = 'ejected'
    health.ejectedUntil = now + BASE_EJECTION_MS * 2 ** Math.min(MAX_EJECTION_DOUBLINGS, health.ejections)
    health.ejections++
  }

  private _startProbation (health: AgentHealth): void {
    health.state = 'probation'
    health.probationAnswersLeft = PROBATION_ANSWERS
  }
}

function createHealth (): AgentHealth {
  return { failureRate: 0, state: 'serving', ejectedUntil: 0, ejections: 0, probationAnswersLeft: 0 }
}
