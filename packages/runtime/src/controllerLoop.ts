/**
 * Runs controllers on the one thread: after a change of what they read, and at their interval.
 */
import type { Blackboard } from './blackboard.js'
import type { Logger } from './logger.js'

/** Reads the blackboard and writes intentions to it. */
export interface Controller<Facts extends object> {
  readonly name: string
  /** Keys whose change makes the controller run. */
  readonly reads: ReadonlyArray<keyof Facts>
  /** Milliseconds between runs without a change; absent: only on change. */
  readonly intervalMs?: number
  /** One run. `now` is the process's monotonic clock in milliseconds. */
  run (board: Blackboard<Facts>, now: number): void | Promise<void>
}

export class ControllerLoop<Facts extends object> {
  private readonly _board: Blackboard<Facts>
  private readonly _logger: Logger
  private readonly _stops: Array<() => void> = []
  private readonly _running = new Map<Controller<Facts>, Promise<void>>()
  private readonly _dirty = new Set<Controller<Facts>>()
  private _isClosed = false

  constructor (board: Blackboard<Facts>, logger: Logger) {
    this._board = board
    this._logger = logger
  }

  /** Adds a controller; it runs soon for the first time. */
  add (controller: Controller<Facts>): void {
    for (const key of controller.reads) this._stops.push(this._board.subscribe(key, () => this._schedule(controller)))
    if (controller.intervalMs !== undefined) {
      const timer = setInterval(() => this._schedule(controller), controller.intervalMs)
      this._stops.push(() => clearInterval(timer))
    }
    this._schedule(controller)
  }

  /** Starts no more runs and waits for those under way. */
  async close (): Promise<void> {
    this._isClosed = true
    for (const stop of this._stops) stop()
    await Promise.all(this._running.values())
  }

  private _schedule (controller: Controller<Facts>): void {
    if (this._isClosed) return
    if (this._running.has(controller)) {
      this._dirty.add(controller)
      return
    }
    this._running.set(controller, this._run(controller))
  }

  private async _run (controller: Controller<Facts>): Promise<void> {
    await Promise.resolve()
    try {
      await controller.run(this._board, performance.now())
    } catch (error) {
      this._logger.error({ err: error, controller: controller.name }, 'controller failed')
    }
    this._running.delete(controller)
    if (this._dirty.delete(controller)) this._schedule(controller)
  }
}
