/**
 * In-process client of a {@link RunWorkerEngine} that can lose, delay or refuse calls and lose answers.
 */
import type { HoldRequest, HoldResult, RunOutcome, RunStartRequest, RunWorker } from '@dragonflylever/adapters'
import { StartRefusal } from '@dragonflylever/core/graphs/index'

import type { RunWorkerEngine } from './runWorkerEngine.js'

/** Faults that a {@link MemoryRunWorker} injects into calls. An order is a call that starts or stops a run. */
export interface RunWorkerFaults {
  /** While true, all calls and answers are lost. */
  isPartitioned: boolean
  /** Number of orders that will be executed but whose answers will be lost. */
  loseAnswers: number
  /** Number of orders that will get no answer and be executed only after `orderDelayMs` milliseconds. */
  delayedOrders: number
  orderDelayMs: number
  /** Number of orders to refuse with the reason `unhealthy`. While `delayedOrders` is above 0, orders are delayed instead. */
  refuseOrders: number
}

const CALL_TIMEOUT_MS = 400
const HOLD_TIMEOUT_MARGIN_MS = 700

/** Outcome of a call while the worker is down. */
const REFUSED = { kind: 'notSent', message: 'connection refused', isRefused: true } as const

/** Creates a set of faults in which no fault is switched on. */
export function createRunWorkerFaults (): RunWorkerFaults {
  return { isPartitioned: false, loseAnswers: 0, delayedOrders: 0, orderDelayMs: 4_000, refuseOrders: 0 }
}

export class MemoryRunWorker implements RunWorker {
  private readonly _engine: RunWorkerEngine
  private readonly _faults: RunWorkerFaults

  constructor (engine: RunWorkerEngine, faults: RunWorkerFaults) {
    this._engine = engine
    this._faults = faults
  }

  start (start: RunStartRequest): Promise<RunOutcome> {
    return this._performOrder(() => this._engine.start(start))
  }

  stop (task: string, run: number, epoch: number): Promise<RunOutcome> {
    return this._performOrder(() => this._engine.stop(task, run, epoch))
  }

  async pace (): Promise<RunOutcome> {
    return { kind: 'ok', clockMs: this._engine.clockMs }
  }

  async hold (request: HoldRequest): Promise<RunOutcome<HoldResult>> {
    if (this._faults.isPartitioned) return this._loseAnswer(request.waitMs + HOLD_TIMEOUT_MARGIN_MS)
    if (this._engine.isDown) return REFUSED
    const { born } = this._engine
    const outcome = await this._engine.hold(request)
    if (this._engine.isDown && this._engine.born !== born) return { kind: 'lost', message: 'the worker closed the connection' }
    if (this._faults.isPartitioned) return this._loseAnswer(HOLD_TIMEOUT_MARGIN_MS)
    return outcome
  }

  close (): void {}

  private async _performOrder (execute: () => RunOutcome): Promise<RunOutcome> {
    if (this._faults.isPartitioned) return this._loseAnswer(CALL_TIMEOUT_MS)
    if (this._engine.isDown) return REFUSED
    if (this._faults.delayedOrders > 0) {
      this._faults.delayedOrders--
      const { born } = this._engine
      // A delayed order is dropped when the worker's incarnation ends before it is executed.
      setTimeout(() => { if (this._engine.born === born) execute() }, this._faults.orderDelayMs)
      return this._loseAnswer(CALL_TIMEOUT_MS)
    }
    if (this._faults.refuseOrders > 0) {
      this._faults.refuseOrders--
      return { kind: 'refused', reason: StartRefusal.unhealthy, clockMs: this._engine.clockMs }
    }
    const outcome = execute()
    if (this._faults.loseAnswers <= 0) return outcome
    this._faults.loseAnswers--
    return this._loseAnswer(CALL_TIMEOUT_MS)
  }

  private async _loseAnswer (ms: number): Promise<{ kind: 'lost', message: string }> {
    await new Promise(resolve => setTimeout(resolve, ms))
    return { kind: 'lost', message: `no answer within ${ms} ms` }
  }
}
