/**
 * Runs tasks in their order, a limited time at a stretch, so that the thread stays free for timers and calls whatever the number of tasks.
 */

/** Time after which the thread is released, in milliseconds. */
const SLICE_MS = 20

export class SlicedTasks {
  private readonly _tasks: Array<() => void> = []
  private _timer: NodeJS.Timeout | undefined
  private _isClosed = false

  /** Number of tasks that have not run yet. */
  get size (): number {
    return this._tasks.length
  }

  /** Adds tasks. They run at once, as far as no earlier ones wait and time allows. */
  add (tasks: ReadonlyArray<() => void>): void {
    if (this._isClosed) return
    for (const task of tasks) this._tasks.push(task)
    if (this._timer === undefined) this._runSlice()
  }

  /** Drops the tasks that have not run yet. */
  close (): void {
    this._isClosed = true
    clearTimeout(this._timer)
    this._tasks.length = 0
  }

  private _runSlice (): void {
    const startedAt = performance.now()
    while (this._tasks.length > 0) {
      if (performance.now() - startedAt > SLICE_MS) {
        this._timer = setTimeout(() => {
          this._timer = undefined
          this._runSlice()
        }, 0)
        return
      }
      this._tasks.shift()?.()
    }
  }
}
