/**
 * Seeded random numbers, passed to every decision that needs them so that runs can be reproduced.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const TWO_POW_32 = 0x1_0000_0000

/** Source of uniform random numbers. */
export interface Random {
  /** Returns a number in [0, 1). */
  sample (): number
  /** Returns an integer in [0, bound). */
  pick (bound: number): number
}

/** Pseudo-random number generator; the same seed gives the same sequence. */
export class SeededRandom implements Random {
  private readonly _generator: ReturnType<typeof xoroshiro128plus>

  constructor (seed: number) {
    this._generator = xoroshiro128plus(seed)
  }

  sample (): number {
    return (this._generator.next() >>> 0) / TWO_POW_32
  }

  pick (bound: number): number {
    return Math.floor(this.sample() * bound)
  }
}
