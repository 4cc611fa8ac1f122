/**
 * An entry that decides on the admission of jobs in a simulated fleet, by the forecast that the planner publishes every second.
 */
import { SeededRandom } from '@dragonflylever/core'
import { decideAdmission } from '@dragonflylever/core/graphs/index'
import type { AdmissionForecast, GraphPlanner, OrganisationGuarantee } from '@dragonflylever/core/graphs/index'

import type { GraphArrival } from './graphWorkload.js'

const FORECAST_INTERVAL_MS = 1_000

export class SimulatedEntry {
  /** Ids of the jobs that were refused at least once. */
  readonly refused = new Set<string>()
  private readonly _guarantees: ReadonlyMap<string, number>
  private readonly _random: SeededRandom
  private readonly _returns = new Map<string, number>()
  private _forecast: AdmissionForecast | undefined
  private _forecastAt = -Infinity

  constructor (guarantees: readonly OrganisationGuarantee[], seed: number) {
    this._guarantees = new Map(guarantees.map(({ organisation, accelerators }) => [organisation, accelerators]))
    this._random = new SeededRandom(seed)
  }

  /** Returns the delay until the client of a refused job comes back, in milliseconds; undefined if the job is accepted. */
  admit ({ graph }: GraphArrival, planner: GraphPlanner, now: number): number | undefined {
    if (this._forecast === undefined || now - this._forecastAt >= FORECAST_INTERVAL_MS) {
      this._forecast = planner.createAdmissionForecast(now)
      this._forecastAt = now
    }
    const { id, queue, steps, organisation } = graph
    const returns = this._returns.get(id) ?? 0
    const decision = decideAdmission(this._forecast, { queue, steps, organisation, guaranteedAccelerators: this._guarantees.get(organisation) ?? 0, returns }, this._random.sample())
    if (decision.kind === 'accepted') return undefined
    this.refused.add(id)
    this._returns.set(id, returns + 1)
    return decision.retryAfterMs
  }
}
