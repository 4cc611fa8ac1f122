/**
 * Speeds of the workers of a simulated fleet, and a source that tells them to the planner.
 */
import { SeededRandom } from '@dragonflylever/core'
import type { SpeedSource } from '@dragonflylever/core/graphs/index'

/** Standard deviation of the logarithms of the factors above which workers count as different. */
const MIN_SPREAD = 0.15

/** Returns a random one of `choices` for each worker; the same seed gives the same factors. */
export function pickFactors (workers: number, choices: readonly number[], seed: number): number[] {
  const random = new SeededRandom(seed)
  return Array.from({ length: workers }, () => choices[random.pick(choices.length)] ?? 1)
}

/** Knows the speeds of all workers of a fleet from the start. */
export class TrueSpeeds implements SpeedSource {
  readonly hasDifferences: boolean
  private readonly _factors: ReadonlyMap<string, number>

  constructor (factors: readonly number[]) {
    this._factors = new Map(factors.map((factor, index) => [`w${index}`, factor]))
    const logarithms = factors.map(Math.log)
    const mean = logarithms.reduce((sum, value) => sum + value, 0) / logarithms.length
    this.hasDifferences = Math.sqrt(logarithms.reduce((sum, value) => sum + (value - mean) ** 2, 0) / logarithms.length) > MIN_SPREAD
  }

  getFactor (workerId: string): number {
    return this._factors.get(workerId) ?? 1
  }
}
