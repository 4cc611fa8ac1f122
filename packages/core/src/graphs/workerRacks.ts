/**
 * Racks of workers, and those that a step uses.
 */
import { RunPhase } from './jobState.js'
import type { StepState } from './jobState.js'
import type { WorkerState } from './workerState.js'

/** Groups workers by their rack. */
export function groupByRack (workers: readonly WorkerState[]): Map<string, WorkerState[]> {
  const racks = new Map<string, WorkerState[]>()
  for (const worker of workers) {
    const rack = getRack(worker)
    const group = racks.get(rack) ?? []
    group.push(worker)
    racks.set(rack, group)
  }
  return racks
}

/**
 * Lists the racks in which tasks of a step run, among the given workers. The others of the step should run there too, if it is to stay in one rack; the tasks of a gang
 * start together, so that none is there before.
 */
export function listRacksInUse (step: StepState, workers: readonly WorkerState[]): string[] {
  if (!step.spec.isSameRack || step.spec.isGang || step.tasks.every(task => task.runs.length === 0)) return []
  const racks = new Set<string>()
  for (const worker of workers) {
    for (const run of worker.runs) if (run.task.step === step && run.phase !== RunPhase.stopping) racks.add(getRack(worker))
  }
  return [...racks]
}

function getRack (worker: WorkerState): string {
  return worker.report?.rack ?? ''
}
