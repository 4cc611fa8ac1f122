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

/** Maximum number of runs of a step with which a run is compared; each report lists each run of the step. */
const MAX_COMPARED_RUNS = 256

/** Returns the conditions of a run; undefined if its rack is unknown. `getRack` returns the rack of a run's worker. */
export function findRunConditions (run: RunState, getRack: (run: RunState) => string | undefined): RunConditions | undefined {
  const { dataRack, isSameRack } = run.task.step.spec
  const rack = getRack(run)
  if (rack === undefined) return undefined
  return { isFar: dataRack !== undefined && dataRack !== rack, isSpread: isSameRack && hasRunElsewhere(run, rack, getRack) }
}

function hasRunElsewhere (run: RunState, rack: string, getRack: (run: RunState) => string | undefined): boolean {
  let compared = 0
  for (const { runs } of run.task.step.tasks) {
    for (const other of runs) if (getRack(other) !== rack) return true
    compared += runs.length
    if (compared >= MAX_COMPARED_RUNS) break
  }
  return false
}
