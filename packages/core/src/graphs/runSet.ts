/**
 * The runs of a worker, which can be found by name: a report lists each of them, and there may be thousands.
 */
import type { RunState } from './jobState.js'

export class RunSet implements Iterable<RunState> {
  private readonly _runs = new Map<string, RunState>()

  get size (): number {
    return this._runs.size
  }

  add (run: RunState): void {
    this._runs.set(getRunKey(run), run)
  }

  delete (run: RunState): void {
    const key = getRunKey(run)
    if (this._runs.get(key) === run) this._runs.delete(key)
  }

  /** Finds the run with the given key, see {@link makeRunKey}; undefined if the worker has none. */
  find (key: string): RunState | undefined {
    return this._runs.get(key)
  }

  [Symbol.iterator] (): Iterator<RunState> {
    return this._runs.values()
  }
}

/** Returns the key of a run, see {@link makeRunKey}. */
export function getRunKey (run: RunState): string {
  return makeRunKey({ task: run.task.name, run: run.number })
}

/** Returns a key that identifies a run among the runs of one worker. */
export function makeRunKey (run: { readonly task: string, readonly run: number }): string {
  return `${run.task}/${run.run}`
}
