/**
 * Chooses the runs that have to stop so that a step of priority 0 gets capacity in time, with the least work lost. Needed when
 * borrowed capacity fills the fleet and a guaranteed job arrives.
 */
import type { CapacitySnapshot } from './capacitySnapshot.js'
import type { StepSpec } from './graphTypes.js'
import { RunPhase } from './jobState.js'
import type { RunState, StepState } from './jobState.js'
import type { WaitingStep } from './waitingStep.js'
import { countFits, returnNeeds, takeNeeds } from './workerState.js'
import type { FreeCapacity, WorkerState } from './workerState.js'
import { groupByRack, listRacksInUse } from './workerRacks.js'
import type { Victim, VictimCatalogue } from './victimCatalogue.js'

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
  readonly victims: VictimCatalogue
  /** True for a run that was to stop so long ago that its end is not to be expected soon. */
  readonly isStopOverdue: (run: RunState) => boolean
}

/** A group of runs that stop together, as a candidate for a stop at the considered workers. */
interface VictimGroup extends Victim {
  /** For each run on one of the considered workers: the worker's slots, and the needs that a stop adds to them. */
  readonly slots: ReadonlyArray<{ readonly at: WorkerSlots, readonly needs: StepSpec }>
  /** Score of the group while its workers have the capacity for which it was computed; undefined when it has to be computed again. */
  score: number | undefined
}

/** One of the considered workers: its capacity as it is after the stops chosen so far, and how many tasks of the step fit there. */
interface WorkerSlots {
  readonly worker: WorkerState
  readonly free: FreeCapacity
  /** Maximum number of further tasks of the step, regardless of the free capacity. */
  readonly limit: number
  count: number
  /** Groups with runs at this worker, whose scores change with its free capacity. */
  readonly groups: VictimGroup[]
}

/** Cost of the restart after each stop, in core-seconds; added to the lost work so that few runs are stopped. */
const STOP_COST = 2

/**
 * Finds the plan with the least loss that makes room for a step; undefined when there is none. Plans with a loss above `maxLoss` are all alike
 * to the caller, so the search ends early for them and the returned loss is only known to be above `maxLoss`.
 */
export function chooseReclaimPlan (waiting: WaitingStep, snapshot: CapacitySnapshot, dependencies: ReclaimDependencies, maxLoss = Infinity): ReclaimPlan | undefined {
  const { step } = waiting
  const eligible = snapshot.workers.filter(worker => dependencies.isEligible(worker, step))
  let best: ReclaimPlan | undefined
  for (const set of listWorkerSets(eligible, step, listRacksInUse(step, snapshot.workers))) {
    const plan = planReclaim(waiting, set, snapshot, dependencies, Math.min(maxLoss, best?.loss ?? Infinity))
    if (plan !== undefined && (best === undefined || plan.loss < best.loss)) best = plan
  }
  return best
}

function listWorkerSets (eligible: readonly WorkerState[], step: StepState, racksInUse: readonly string[]): WorkerState[][] {
  if (!step.spec.isSameRack) return [[...eligible]]
  const racks = groupByRack(eligible)
  if (racksInUse.length > 0) return racksInUse.map(rack => racks.get(rack) ?? [])
  const localRack = step.spec.dataRack === undefined ? undefined : racks.get(step.spec.dataRack)
  return localRack === undefined ? [...racks.values()] : [localRack, ...[...racks.values()].filter(set => set !== localRack)]
}

/** Plans the stops in one set of workers. Ends the search as soon as the loss exceeds `maxLoss`; the plan is then incomplete. */
function planReclaim (waiting: WaitingStep, workers: readonly WorkerState[], snapshot: CapacitySnapshot, dependencies: ReclaimDependencies, maxLoss: number): ReclaimPlan | undefined {
  const { step, tasks } = waiting
  if (countTasksWhenEmpty(workers, step) < tasks.length) return undefined
  const slots = workers.map(worker => makeWorkerSlots(worker, step, snapshot, dependencies))
  let total = slots.reduce((sum, at) => sum + at.count, 0)
  const groups = total < tasks.length ? listVictimGroups(slots, dependencies) : []
  if (total < tasks.length && countTasksWithoutRuns(slots, groups, step) < tasks.length) return undefined
  const chosen: VictimGroup[] = []
  let loss = 0
  while (total < tasks.length) {
    const next = pickVictimGroup(groups, step)
    if (next === undefined) return undefined
    chosen.push(next)
    groups.splice(groups.indexOf(next), 1)
    total += returnGroupCapacity(next, step)
    loss += next.loss
    if (loss > maxLoss) return { victims: [], slots: new Map(), loss }
  }
  return { victims: chosen.flatMap(group => group.runs), slots: chooseSlots(slots, tasks.length), loss }
}

/** Counts the tasks that would fit if the workers ran nothing; an upper bound that needs no list of runs. */
function countTasksWhenEmpty (workers: readonly WorkerState[], step: StepState): number {
  return workers.reduce((sum, worker) => sum + countFits(worker.capacity, step.spec), 0)
}

function makeWorkerSlots (worker: WorkerState, step: StepState, snapshot: CapacitySnapshot, dependencies: ReclaimDependencies): WorkerSlots {
  const free = { ...snapshot.getFree(worker) }
  // The capacity of runs that are already stopping will be free soon.
  for (const run of worker.runs) if (run.phase === RunPhase.stopping && !dependencies.isStopOverdue(run)) returnNeeds(free, run.task.step.spec)
  const limit = dependencies.getTaskLimit(worker, step)
  return { worker, free, limit, count: Math.min(countFits(free, step.spec), limit), groups: [] }
}

/** Counts the tasks that would fit if all groups were stopped; cheaper than a search that finds out that they don't suffice. */
function countTasksWithoutRuns (slots: readonly WorkerSlots[], groups: readonly VictimGroup[], step: StepState): number {
  const free = new Map(slots.map(at => [at, { ...at.free }]))
  for (const group of groups) for (const { at, needs } of group.slots) returnNeeds(free.get(at) as FreeCapacity, needs)
  let total = 0
  for (const [at, capacity] of free) total += Math.min(countFits(capacity, step.spec), at.limit)
  return total
}

function chooseSlots (slots: readonly WorkerSlots[], taskCount: number): Map<WorkerState, number> {
  const chosen = new Map<WorkerState, number>()
  let remaining = taskCount
  for (const { worker, count } of [...slots].sort((a, b) => a.count - b.count)) {
    const slotCount = Math.min(remaining, count)
    if (slotCount > 0) chosen.set(worker, slotCount)
    remaining -= slotCount
  }
  return chosen
}

/** Picks the group of runs that frees the most slots per lost work, or the most accelerators per lost work when no group frees a whole slot. */
function pickVictimGroup (groups: readonly VictimGroup[], step: StepState): VictimGroup | undefined {
  let best: VictimGroup | undefined
  let bestScore = -Infinity
  for (const group of groups) {
    group.score ??= computeGroupScore(group, step)
    if (group.score <= bestScore) continue
    best = group
    bestScore = group.score
  }
  return best
}

function computeGroupScore (group: VictimGroup, step: StepState): number {
  const gained = countGainedTasks(group, step)
  return gained > 0 ? 1_000 + gained / (group.loss + STOP_COST) : (group.accelerators + 0.1) / (group.loss + STOP_COST) / 1_000
}

/** Counts the further tasks of the step that would fit if the group were stopped. */
function countGainedTasks (group: VictimGroup, step: StepState): number {
  for (const { at, needs } of group.slots) returnNeeds(at.free, needs)
  let gained = 0
  for (const at of new Set(group.slots.map(slot => slot.at))) gained += Math.min(countFits(at.free, step.spec), at.limit) - at.count
  for (const { at, needs } of group.slots) takeNeeds(at.free, needs)
  return gained
}

/** Adds the capacity of a group to its workers. Returns the number of further tasks of the step that fit. */
function returnGroupCapacity (group: VictimGroup, step: StepState): number {
  for (const { at, needs } of group.slots) returnNeeds(at.free, needs)
  let gained = 0
  for (const at of new Set(group.slots.map(slot => slot.at))) {
    const count = Math.min(countFits(at.free, step.spec), at.limit)
    gained += count - at.count
    at.count = count
    for (const other of at.groups) other.score = undefined
  }
  return gained
}

function listVictimGroups (slots: readonly WorkerSlots[], { victims }: ReclaimDependencies): VictimGroup[] {
  const groups: VictimGroup[] = []
  const seen = new Set<Victim>()
  const slotsById = new Map(slots.map(at => [at.worker.key.id, at]))
  for (const { worker } of slots) {
    for (const run of worker.runs) {
      const victim = run.phase === RunPhase.stopping ? undefined : victims.findVictim(run)
      if (victim === undefined || seen.has(victim)) continue
      seen.add(victim)
      const group: VictimGroup = { ...victim, slots: listSlots(victim, slotsById), score: undefined }
      groups.push(group)
      for (const { at } of group.slots) at.groups.push(group)
    }
  }
  return groups
}

function listSlots (victim: Victim, slotsById: ReadonlyMap<string, WorkerSlots>): VictimGroup['slots'] {
  return victim.runs.flatMap(run => {
    const at = slotsById.get(run.worker.id)
    return at === undefined ? [] : [{ at, needs: run.task.step.spec }]
  })
}
