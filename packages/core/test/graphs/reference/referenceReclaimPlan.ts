/**
 * Plain reference of the reclaim plan, which evaluates every group of runs anew for each stop. The plans of the planner must be the same.
 *
 * Chooses the runs that have to stop so that a step of priority 0 gets capacity in time, with the least work lost. Needed when
 * borrowed capacity fills the fleet and a guaranteed job arrives.
 */
import { computeCoreSeconds } from '../../../src/graphs/coreSeconds.js'
import type { CapacitySnapshot } from '../../../src/graphs/capacitySnapshot.js'
import type { StepSpec } from '../../../src/graphs/graphTypes.js'
import { RunPhase } from '../../../src/graphs/jobState.js'
import type { RunState, StepState } from '../../../src/graphs/jobState.js'
import { groupByRack } from './referencePlacement.js'
import type { WaitingStep } from '../../../src/graphs/waitingStep.js'
import { countFits, returnNeeds, takeNeeds } from '../../../src/graphs/workerState.js'
import type { FreeCapacity, WorkerState } from '../../../src/graphs/workerState.js'

/** The runs to stop, and the slots that the step then gets. */
export interface ReclaimPlan {
  readonly victims: readonly RunState[]
  readonly slots: ReadonlyMap<WorkerState, number>
  /** Core-seconds of work that are lost, plus the costs of the stops from `getStopCost`. */
  readonly loss: number
}

/** Dependencies of {@link chooseReclaimPlan}. */
export interface ReclaimDependencies {
  readonly isEligible: (worker: WorkerState, step: StepState) => boolean
  readonly getTaskLimit: (worker: WorkerState, step: StepState) => number
  /** Returns the cost of stopping a run in core-seconds, without the work that the run loses; Infinity when the run must not be stopped. */
  readonly getStopCost: (run: RunState) => number
  readonly isStopOverdue: (run: RunState) => boolean
  /** Estimates how long a run has worked, in milliseconds. */
  readonly estimateWorkedMs: (run: RunState) => number
  /** Run time between two checkpoints, in milliseconds. */
  readonly checkpointMs: number
}

/** Runs that stop together: a single run or all runs of a gang. */
interface VictimGroup {
  readonly runs: readonly RunState[]
  readonly loss: number
  /** For each run on one of the considered workers: the worker, its free capacity, and the needs that a stop adds to this capacity. */
  readonly slots: ReadonlyArray<{ readonly worker: WorkerState, readonly room: FreeCapacity, readonly needs: StepSpec }>
}

/** Cost of the restart after each stop, in core-seconds; added to the lost work so that few runs are stopped. */
const STOP_COST = 2
/** Time to resume from a checkpoint, as a share of the time between two checkpoints; workers take 100 to 250 ms of 2 s. */
const RESUME_SHARE = 0.125

/** Finds the plan with the least loss that makes room for a step; undefined when there is none. */
export function chooseReclaimPlan (waiting: WaitingStep, snapshot: CapacitySnapshot, dependencies: ReclaimDependencies): ReclaimPlan | undefined {
  const { step } = waiting
  const eligible = snapshot.workers.filter(worker => dependencies.isEligible(worker, step))
  const plans = listWorkerSets(eligible, step).map(set => planReclaim(waiting, set, snapshot, dependencies)).filter(plan => plan !== undefined)
  plans.sort((a, b) => a.loss - b.loss)
  return plans[0]
}

function listWorkerSets (eligible: readonly WorkerState[], step: StepState): WorkerState[][] {
  if (!step.spec.isSameRack) return [[...eligible]]
  const racks = groupByRack(eligible)
  const localRack = step.spec.dataRack === undefined ? undefined : racks.get(step.spec.dataRack)
  return localRack === undefined ? [...racks.values()] : [localRack, ...[...racks.values()].filter(set => set !== localRack)]
}

function planReclaim (waiting: WaitingStep, workers: readonly WorkerState[], snapshot: CapacitySnapshot, dependencies: ReclaimDependencies): ReclaimPlan | undefined {
  const { step, tasks } = waiting
  const free = new Map<WorkerState, FreeCapacity>()
  for (const worker of workers) free.set(worker, { ...snapshot.getFree(worker) })
  const count = (worker: WorkerState): number => Math.min(countFits(free.get(worker) as FreeCapacity, step.spec), dependencies.getTaskLimit(worker, step))
  const countTotal = (): number => workers.reduce((sum, worker) => sum + count(worker), 0)
  // The capacity of runs that are already stopping will be free soon, unless their stop is overdue.
  for (const worker of workers) for (const run of worker.runs) if (run.phase === RunPhase.stopping && !dependencies.isStopOverdue(run)) returnNeeds(free.get(worker) as FreeCapacity, run.task.step.spec)
  const groups = listVictimGroups(free, dependencies)
  const chosen: VictimGroup[] = []
  while (countTotal() < tasks.length) {
    const next = pickVictimGroup(groups, count)
    if (next === undefined) return undefined
    chosen.push(next)
    groups.splice(groups.indexOf(next), 1)
    returnGroupCapacity(next)
  }
  const slots = new Map<WorkerState, number>()
  let remaining = tasks.length
  for (const worker of [...workers].sort((a, b) => count(a) - count(b))) {
    const slotCount = Math.min(remaining, count(worker))
    if (slotCount > 0) slots.set(worker, slotCount)
    remaining -= slotCount
  }
  return { victims: chosen.flatMap(group => group.runs), slots, loss: chosen.reduce((sum, group) => sum + group.loss, 0) }
}

/** Picks the group of runs that frees the most slots per lost work, or the most accelerators per lost work when no group frees a whole slot. */
function pickVictimGroup (groups: readonly VictimGroup[], count: (worker: WorkerState) => number): VictimGroup | undefined {
  let best: VictimGroup | undefined
  let bestScore = -Infinity
  for (const group of groups) {
    const affected = [...new Set(group.slots.map(slot => slot.worker))]
    const before = affected.reduce((sum, worker) => sum + count(worker), 0)
    returnGroupCapacity(group)
    const gained = affected.reduce((sum, worker) => sum + count(worker), 0) - before
    takeGroupCapacity(group)
    const size = group.runs.reduce((sum, run) => sum + run.task.step.spec.accelerators, 0) + 0.1
    const score = gained > 0 ? 1_000 + gained / (group.loss + STOP_COST) : size / (group.loss + STOP_COST) / 1_000
    if (score <= bestScore) continue
    best = group
    bestScore = score
  }
  return best
}

function returnGroupCapacity (group: VictimGroup): void {
  for (const { room, needs } of group.slots) returnNeeds(room, needs)
}

function takeGroupCapacity (group: VictimGroup): void {
  for (const { room, needs } of group.slots) takeNeeds(room, needs)
}

function listVictimGroups (free: ReadonlyMap<WorkerState, FreeCapacity>, dependencies: ReclaimDependencies): VictimGroup[] {
  const groups: VictimGroup[] = []
  const seen = new Set<RunState>()
  const workersByKey = new Map([...free.keys()].map(worker => [worker.key.id, worker]))
  for (const worker of free.keys()) {
    for (const run of worker.runs) {
      if (seen.has(run) || run.phase === RunPhase.stopping) continue
      const runs = run.task.step.spec.isGang ? run.task.step.tasks.flatMap(task => task.runs.filter(member => member.phase !== RunPhase.stopping)) : [run]
      for (const member of runs) seen.add(member)
      const stopCost = Math.max(...runs.map(dependencies.getStopCost))
      if (stopCost === Infinity) continue
      const loss = runs.reduce((sum, member) => sum + computeLoss(member, dependencies), stopCost)
      const slots = runs.flatMap(member => {
        const at = workersByKey.get(member.worker.id)
        const room = at === undefined ? undefined : free.get(at)
        return at === undefined || room === undefined ? [] : [{ worker: at, room, needs: member.task.step.spec }]
      })
      groups.push({ runs, loss, slots })
    }
  }
  return groups
}

/** Returns the core-seconds of work that are lost when a run stops. */
function computeLoss (run: RunState, dependencies: ReclaimDependencies): number {
  const { spec } = run.task.step
  const workedMs = dependencies.estimateWorkedMs(run)
  // A stop saves the work of a run that writes checkpoints. Only the time to resume is lost, well below the time between two checkpoints.
  const unsavedMs = spec.isCheckpointing ? Math.min(workedMs, dependencies.checkpointMs * RESUME_SHARE) : workedMs
  return computeCoreSeconds(spec, unsavedMs)
}
