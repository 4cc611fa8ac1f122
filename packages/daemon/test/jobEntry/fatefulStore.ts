/**
 * A store whose writes are rejected, lost, or carried out late and not answered, as drawn.
 */
import type { TransactOutcome, Transaction } from '@dragonflylever/adapters'
import { MemoryStore } from '@dragonflylever/standins'
import fc from 'fast-check'

/** Longest time after which the store carries out a write that it left unanswered, in milliseconds. */
const MAX_LATE_MS = 6_000
const FATES = ['served', 'rejected', 'lost', 'carriedOutAndLost', 'carriedOutLate'] as const

/** What becomes of a write, and when its caller learns of it. */
export interface Fate {
  readonly kind: typeof FATES[number]
  readonly answerMs: number
  readonly lateMs: number
}

/** A store whose writes have drawn fates, in turn. */
export class FatefulStore extends MemoryStore {
  private readonly _fates: readonly Fate[]
  private _count = 0

  constructor (fates: readonly Fate[]) {
    super()
    this._fates = fates
  }

  override async transact (transaction: Transaction): Promise<TransactOutcome> {
    const { kind, answerMs, lateMs } = this._fates[this._count++ % this._fates.length] ?? { kind: 'served', answerMs: 0, lateMs: 0 }
    const result = kind === 'served' || kind === 'carriedOutAndLost' ? this.engine.transact(transaction) : undefined
    if (kind === 'carriedOutLate') setTimeout(() => { this.engine.transact(transaction) }, lateMs)
    await new Promise(resolve => setTimeout(resolve, answerMs))
    if (kind === 'rejected') return { kind: 'unavailable', message: 'rejected' }
    return kind === 'served' && result !== undefined ? result : { kind: 'ambiguous', message: 'the answer was lost' }
  }
}

/** Draws the fate of a write. */
export const fate = fc.record({ kind: fc.constantFrom(...FATES), answerMs: fc.integer({ min: 0, max: 1_200 }), lateMs: fc.integer({ min: 0, max: MAX_LATE_MS }) })
