/**
 * A worker within the process, behind calls that may be lost, late or silent.
 */
import type { HoldRequest, HoldResult, RunOutcome, RunStart, RunWorker } from '@dragonflylever/adapters'
import { StartRefusal } from '@dragonflylever/core/graphs/index'

import type { RunWorkerEngine } from './runWorkerEngine.js'

/** What happens to calls while a fault is on. */
export interface RunWorkerFaults {
  /** Nothing gets through, in either direction. */
  isCut: boolean
  /** The next calls of this number are carried out, and their answers are lost. */
  loseAnswers: number
  /** The next orders of this number get no answer and are carried out after `lateMs`. */
  lateOrders: number
  lateMs: number
  /** The next orders of this number after those are refused as by a worker that is not well. */
  refuseOrders: number
}

const CALL_LIMIT_MS = 400
const HOLD_MARGIN_MS = 700

/** Makes faults of which none is on. */
export function createRunWorkerFaults (): RunWorkerFaults {
  return { isCut: false, loseAnswers: 0, lateOrders: 0, lateMs: 4_000, refuseOrders: 0 }
}

export class MemoryRunWorker implements RunWorker {
  private readonly _engine: RunWorkerEngine
  private readonly _faults: RunWorkerFaults

  constructor (engine: RunWorkerEngine, faults: RunWorkerFaults) {
    this._engine = engine
    this._faults = faults
  }

  start (start: RunStart): Promise<RunOutcome> {
    return this._order(() => this._engine.start(start))
  }

  stop (task: string, run: number, epoch: number): Promise<RunOutcome> {
    return this._order(() => this._engine.stop(task, run, epoch))
  }

  async pace (): Promise<RunOutcome> {
    return { kind: 'ok', clockMs: this._engine.clockMs }
  }

  async hold (request: HoldRequest): Promise<RunOutcome<HoldResult>> {
    if (this._faults.isCut) return this._wait(request.waitMs + HOLD_MARGIN_MS)
    const outcome = await this._engine.hold(request)
    if (this._faults.isCut) return this._wait(HOLD_MARGIN_MS)
    return outcome
  }

  close (): void {}

  private async _order (carryOut: () => RunOutcome): Promise<RunOutcome> {
    if (this._faults.isCut) return this._wait(CALL_LIMIT_MS)
    if (this._faults.lateOrders > 0) {
      this._faults.lateOrders--
      const { born } = this._engine
      // What waits at a worker goes with its life.
      setTimeout(() => { if (this._engine.born === born) carryOut() }, this._faults.lateMs)
      return this._wait(CALL_LIMIT_MS)
    }
    if (this._faults.refuseOrders > 0) {
      this._faults.refuseOrders--
      return { kind: 'refused', reason: StartRefusal.unhealthy, clockMs: this._engine.clockMs }
    }
    const outcome = carryOut()
    if (this._faults.loseAnswers <= 0) return outcome
    this._faults.loseAnswers--
    return this._wait(CALL_LIMIT_MS)
  }

  private async _wait (ms: number): Promise<{ kind: 'lost', message: string }> {
    await new Promise(resolve => setTimeout(resolve, ms))
    return { kind: 'lost', message: `no answer within ${ms} ms` }
  }
}
