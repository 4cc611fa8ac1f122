/**
 * Conditions that make a run slow for reasons other than its worker.
 */
import type { RunState } from './jobState.js'

/** Where a run works, relative to what it needs. */
export interface RunConditions {
  /** True if the data of the step lies in another rack. */
  readonly isFar: boolean
  /** True if the tasks of the step should run in one rack and don't. */
  readonly isSpread: boolean
}

/** Returns the conditions of a run among all runs of its step; undefined if its rack is unknown. `getRack` returns the rack of a run's worker. */
export function findRunConditions (run: RunState, runs: Iterable<RunState>, getRack: (run: RunState) => string | undefined): RunConditions | undefined {
  const { dataRack, isSameRack } = run.task.step.spec
  const rack = getRack(run)
  if (rack === undefined) return undefined
  return { isFar: dataRack !== undefined && dataRack !== rack, isSpread: isSameRack && [...runs].some(other => getRack(other) !== rack) }
}
