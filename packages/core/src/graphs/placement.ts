/**
 * Finds workers for the tasks of a step: near the data, in one rack where the step requires it, fast enough where workers differ in speed, and by best
 * fit, so that whole workers stay free for large tasks.
 */
import { isCrashSuspect, isIsolated } from './crashBlame.js'
import type { CapacitySnapshot } from './capacitySnapshot.js'
import type { StepState, TaskState } from './jobState.js'
import { isLastAttempt } from './lastAttempt.js'
import { computePrice, listChoices, sortForSingleTasks } from './speedChoice.js'
import type { SlotsChoice, SpeedSlots } from './speedChoice.js'
import type { SpeedFit } from './speedFit.js'
import type { WaitingStep } from './waitingStep.js'
import { groupByRack, listRacksInUse } from './workerRacks.js'
import { countFits } from './workerState.js'
import type { WorkerState } from './workerState.js'

/**
 * Weights in the score of a worker, in units of one free processor core; the worker with the lowest score is chosen. A failure outweighs
 * any free capacity. A worker that is slow after its start comes after all sound ones, but before those with failures, since a slow run loses less than a failed
 * one.
 */
const FAILURE_PENALTY = 100_000
const COLD_PENALTY = 50_000
const ACCELERATOR_WEIGHT = 1_000
const EQUAL_SPEED = { factor: 1, classFactor: 1, price: 1 }

/** A task with the worker on which it is placed. */
export interface PlacedTask {
  readonly task: TaskState
  readonly worker: WorkerState
}

/** A worker with room for `count` tasks of a step; the worker with the lowest score is preferred. */
interface WorkerSlots extends SpeedSlots {
  readonly worker: WorkerState
  readonly score: number
  count: number
}

/** Workers among which all tasks of a step are placed. */
interface WorkerGroup {
  readonly workers: readonly WorkerState[]
  /** True if the workers are in several racks. */
  readonly isSpread: boolean
}

/** The slots among which the tasks of a step choose. */
interface SlotChoice {
  /** All slots, the best first. */
  readonly slots: readonly WorkerSlots[]
  /** The slots that may take the last attempt of a task. */
  readonly forLastAttempts: readonly WorkerSlots[]
  /** The slots at a worker that only a task that must run alone may take. */
  readonly keptEmpty: WorkerSlots | undefined
  /** The slots at workers that already got a task of the step that is suspected of crashing workers. */
  readonly takenBySuspects: Set<WorkerSlots>
  /** True if a member of the gang has failed at one of the workers. */
  readonly isFailedStep: boolean
}

/** Dependencies of {@link RackPlacement}. */
export interface PlacementDependencies {
  /** True when a worker may run tasks of a step, regardless of its free capacity. */
  readonly isEligible: (worker: WorkerState, step: StepState) => boolean
  /** Maximum number of further tasks of the step that a worker may get, regardless of its free capacity. */
  readonly getTaskLimit: (worker: WorkerState, step: StepState) => number
  /** Returns the number of different jobs that failed at a worker since its last success. */
  readonly countFailures: (worker: WorkerState) => number
  /** True when a worker may run the last attempt of a task of a step. */
  readonly isUsableForLastAttempt: (worker: WorkerState, step: StepState) => boolean
  /** True while a worker is slow after its start. */
  readonly isCold: (worker: WorkerState) => boolean
  /** True when a worker is kept empty for a task that must run alone. */
  readonly isKeptEmpty: (worker: WorkerState) => boolean
  /** Returns those of the workers that may run a task that is suspected of crashing workers. */
  readonly chooseWorkersForSuspect: (workers: readonly WorkerState[], task: TaskState) => readonly WorkerState[]
  /** True when the step has waited for its rack for so long that a slower run in another rack is better. */
  readonly isLocalityWaitOver: (waiting: WaitingStep) => boolean
  /** True when a step that should run in one rack has waited long enough for room for all its tasks there. */
  readonly isWholeRackWaitOver: (waiting: WaitingStep) => boolean
  readonly speedFit: SpeedFit
}

/** Finds workers with free capacity in a snapshot, without subtracting the capacity. */
export interface Placement {
  /**
   * Returns the tasks that can start, each with its worker. For a gang these are all tasks or none. The tasks of another step that should run in one rack start together if they
   * can, and otherwise in turns. `startsAt` is when they would start, on the planner's clock; now when absent.
   */
  place (waiting: WaitingStep, snapshot: CapacitySnapshot, startsAt?: number): PlacedTask[]
}

export class RackPlacement implements Placement {
  private readonly _dependencies: PlacementDependencies

  constructor (dependencies: PlacementDependencies) {
    this._dependencies = dependencies
  }

  place (waiting: WaitingStep, snapshot: CapacitySnapshot, startsAt?: number): PlacedTask[] {
    const { step, tasks } = waiting
    const eligible = snapshot.workers.filter(worker => this._dependencies.isEligible(worker, step))
    const racksInUse = listRacksInUse(step, snapshot.workers)
    const tiers = this._listTiers(waiting, eligible, snapshot, racksInUse)
    for (const tier of tiers) {
      for (const slots of this._listChoices(waiting, tier, snapshot, startsAt)) {
        const placed = this._placeTasks(tasks, slots, step, isPlacedTogether(step))
        if (placed.length === tasks.length) return placed
        if (!isPlacedTogether(step) && placed.length > 0) return placed
      }
    }
    if (step.spec.isGang || !step.spec.isSameRack) return []
    if (racksInUse.length > 0) return this._placeMost(waiting, tiers.flat(), snapshot, startsAt)
    const racks = tiers.flat().filter(({ isSpread }) => !isSpread)
    return this._dependencies.isWholeRackWaitOver(waiting) || isWide(racks.map(({ workers }) => workers), waiting) ? this._placeMost(waiting, racks, snapshot, startsAt) : []
  }

  /** Places as many tasks of a step as possible within one of the groups of workers. */
  private _placeMost (waiting: WaitingStep, groups: readonly WorkerGroup[], snapshot: CapacitySnapshot, startsAt: number | undefined): PlacedTask[] {
    const { step, tasks } = waiting
    const { speedFit } = this._dependencies
    let most: PlacedTask[] = []
    for (const group of groups) {
      const slots = this._listSlots(group, step, snapshot)
      const placed = this._placeTasks(tasks, speedFit.isActive ? sortForSingleTasks(slots, speedFit.getPreferredFactor(step, startsAt)) : slots, step, false)
      if (placed.length > most.length) most = placed
    }
    return most
  }

  /** Returns the groups of workers to try, the best first; groups of the same tier differ only in the room and the speed of their workers. */
  private _listTiers (waiting: WaitingStep, eligible: readonly WorkerState[], snapshot: CapacitySnapshot, racksInUse: readonly string[]): WorkerGroup[][] {
    const { spec } = waiting.step
    const isOver = this._dependencies.isLocalityWaitOver(waiting)
    const all = { workers: eligible, isSpread: true }
    if (!spec.isSameRack) return this._listDataGroups(waiting, eligible, isOver).map(workers => [{ workers, isSpread: true }])
    if (racksInUse.length > 1) return [[all]]
    const racks = groupByRack(eligible)
    const [rackInUse] = racksInUse
    // A task that must run alone takes the worker that is kept empty for it, wherever that is.
    if (rackInUse !== undefined) return [[{ workers: racks.get(rackInUse) ?? [], isSpread: false }], ...(isOver || waiting.tasks.some(isIsolated) ? [[all]] : [])]
    const localRack = spec.dataRack === undefined ? undefined : racks.get(spec.dataRack)
    const local = localRack === undefined ? [] : [[{ workers: localRack, isSpread: false }]]
    const others = this._sortRacks([...racks.values()].filter(group => group !== localRack), waiting, snapshot)
    if (localRack !== undefined && !isOver && countTasksOfGroupWhenEmpty(localRack, waiting.step) >= waiting.tasks.length) return local
    // A step that is no gang starts in parts in one rack, so that it need not give the rack up for want of room.
    const leavesRack = (isOver && spec.isGang) || this._isFasterInSeveralRacks([...racks.values()], waiting)
    return [...local, others.map(workers => ({ workers, isSpread: false })), ...(leavesRack ? [[all]] : [])]
  }

  /** True if the waiting tasks of a step end sooner in several racks than in one, as far as room decides: a gang that is too wide for each rack, or work that takes many turns in one. */
  private _isFasterInSeveralRacks (racks: readonly WorkerState[][], waiting: WaitingStep): boolean {
    const { step, tasks } = waiting
    if (!isWide(racks, waiting)) return false
    if (step.spec.isGang) return true
    const rooms = racks.map(rack => countTasksOfGroupWhenEmpty(rack, step))
    const turnsInAll = Math.ceil(tasks.length / rooms.reduce((sum, room) => sum + room, 0))
    return turnsInAll * this._dependencies.speedFit.remoteFactor < Math.ceil(tasks.length / Math.max(...rooms))
  }

  /** Sorts racks by their free slots, the fewest first; those come last that can hold the tasks only with workers that are slow after their start. */
  private _sortRacks (racks: WorkerState[][], waiting: WaitingStep, snapshot: CapacitySnapshot): WorkerState[][] {
    const rank = (group: readonly WorkerState[]): number => {
      const warm = group.filter(worker => !this._dependencies.isCold(worker))
      return warm.length < group.length && countFreeSlots(warm, waiting.step, snapshot) < waiting.tasks.length ? 1 : 0
    }
    const ranked = racks.map(group => ({ group, rank: rank(group), free: countFreeSlots(group, waiting.step, snapshot) }))
    return ranked.sort((a, b) => a.rank - b.rank || a.free - b.free).map(({ group }) => group)
  }

  private _listDataGroups (waiting: WaitingStep, eligible: readonly WorkerState[], isOver: boolean): WorkerState[][] {
    const { dataRack, isGang } = waiting.step.spec
    if (dataRack === undefined) return [[...eligible]]
    const localWorkers = eligible.filter(worker => worker.report?.rack === dataRack)
    const canHold = countTasksOfGroupWhenEmpty(localWorkers, waiting.step) >= (isGang ? waiting.tasks.length : 1)
    if (!canHold) return [[...eligible]]
    return isOver ? [localWorkers, [...eligible]] : [localWorkers]
  }

  /** Yields the slots to try for a step in the groups of one tier, the best first. */
  private * _listChoices (waiting: WaitingStep, tier: readonly WorkerGroup[], snapshot: CapacitySnapshot, startsAt: number | undefined): Generator<readonly WorkerSlots[]> {
    const { step, tasks } = waiting
    const { speedFit } = this._dependencies
    const maxFactor = speedFit.isActive ? speedFit.getPreferredFactor(step, startsAt) : Infinity
    const choices: Array<SlotsChoice<WorkerSlots>> = []
    for (const group of tier) {
      const slots = this._listSlots(group, step, snapshot)
      if (isPlacedTogether(step) && countSlots(slots) < tasks.length) continue
      if (!speedFit.isActive) yield slots
      else if (isPlacedTogether(step)) choices.push(...listChoices(slots, tasks.length, maxFactor))
      else yield sortForSingleTasks(slots, maxFactor)
    }
    choices.sort((a, b) => Number(b.isFit) - Number(a.isFit) || a.cost - b.cost)
    for (const { slots } of choices) yield slots.map(slot => ({ ...slot }))
  }

  /** Lists the slots of a group of workers for a step, the tightest fit first. */
  private _listSlots (group: WorkerGroup, step: StepState, snapshot: CapacitySnapshot): WorkerSlots[] {
    const slots: WorkerSlots[] = []
    for (const worker of group.workers) {
      const fits = snapshot.countFits(worker, step)
      const count = fits < 1 ? 0 : Math.min(fits, this._dependencies.getTaskLimit(worker, step))
      if (count < 1) continue
      const failures = this._dependencies.countFailures(worker)
      const penalty = failures * FAILURE_PENALTY + (this._dependencies.isCold(worker) ? COLD_PENALTY : 0)
      slots.push({ worker, count, score: penalty + computeRoom(worker, snapshot), ...this._measureSpeed(worker, step, group, failures) })
    }
    return slots.sort((a, b) => a.score - b.score)
  }

  private _measureSpeed (worker: WorkerState, step: StepState, { isSpread }: WorkerGroup, failures: number): Omit<SpeedSlots, 'count'> {
    const { speedFit } = this._dependencies
    if (!speedFit.isActive) return EQUAL_SPEED
    const { factor, classFactor } = speedFit.getSpeed(worker.key.id)
    const placeFactor = speedFit.getPlaceFactor(worker, step, isSpread)
    const ownFailures = step.spec.isGang && step.tasks[0] !== undefined && hasFailedAt(step.tasks[0], worker) ? 1 : 0
    return { factor: factor * placeFactor, classFactor: classFactor * placeFactor, price: computePrice(classFactor, failures + ownFailures) }
  }

  /** Places each task on the first usable one of the slots; returns the tasks that could be placed. With `isAllOrNone`, gives up after the first one that can't. */
  private _placeTasks (tasks: readonly TaskState[], slots: readonly WorkerSlots[], step: StepState, isAllOrNone: boolean): PlacedTask[] {
    const choice: SlotChoice = {
      slots,
      forLastAttempts: tasks.some(isLastAttempt) ? slots.filter(({ worker }) => this._dependencies.isUsableForLastAttempt(worker, step)) : slots,
      keptEmpty: tasks.some(isIsolated) ? slots.find(({ worker }) => this._dependencies.isKeptEmpty(worker)) : undefined,
      takenBySuspects: new Set(),
      isFailedStep: step.spec.isGang && slots.some(({ worker }) => tasks[0] !== undefined && hasFailedAt(tasks[0], worker))
    }
    const placed: PlacedTask[] = []
    for (const task of sortSuspectsFirst(tasks)) {
      const chosen = this._pickSlot(task, choice)
      if (chosen !== undefined) {
        takeSlot(chosen, task, choice)
        placed.push({ task, worker: chosen.worker })
      } else if (isAllOrNone || !(isCrashSuspect(task) || isLastAttempt(task))) break
    }
    return placed
  }

  /** Picks the slots for one task; undefined if there are none that may run it. */
  private _pickSlot (task: TaskState, choice: SlotChoice): WorkerSlots | undefined {
    const byAttempt = isLastAttempt(task) ? choice.forLastAttempts : choice.slots
    const allowed = choice.keptEmpty === undefined || isIsolated(task) ? byAttempt : byAttempt.filter(slot => slot !== choice.keptEmpty)
    const usable = isCrashSuspect(task) ? this._listSlotsForSuspect(task, allowed, choice) : allowed
    return choice.isFailedStep || task.failedOn.size > 0 ? pickWithFailures(task, usable) : usable.find(({ count }) => count > 0)
  }

  private _listSlotsForSuspect (task: TaskState, allowed: readonly WorkerSlots[], choice: SlotChoice): WorkerSlots[] {
    const slots = allowed.filter(slot => slot.count > 0 && !choice.takenBySuspects.has(slot))
    const workers = new Set(this._dependencies.chooseWorkersForSuspect(slots.map(({ worker }) => worker), task))
    return slots.filter(({ worker }) => workers.has(worker))
  }
}

/** Returns the part of a worker's score for its free capacity, which prefers the tightest fit. */
function computeRoom (worker: WorkerState, snapshot: CapacitySnapshot): number {
  const free = snapshot.getFree(worker)
  return free.accelerators * ACCELERATOR_WEIGHT + free.cpuMillis / 1_000
}

/** Takes one of a worker's slots for a task, or all of them if the task must run alone. */
function takeSlot (slot: WorkerSlots, task: TaskState, choice: SlotChoice): void {
  const { isGang } = task.step.spec
  slot.count = isIsolated(task) && !isGang ? 0 : slot.count - 1
  // The members of a gang need not be told apart, since they fail together.
  if (isCrashSuspect(task) && !isGang) choice.takenBySuspects.add(slot)
}

/** Returns the tasks with those first that are suspected of crashing workers, since fewer workers can take them. */
function sortSuspectsFirst (tasks: readonly TaskState[]): readonly TaskState[] {
  return tasks.some(isCrashSuspect) ? [...tasks.filter(isCrashSuspect), ...tasks.filter(task => !isCrashSuspect(task))] : tasks
}

/** Picks the first slots with room; those at workers at which the task has failed come last. */
function pickWithFailures (task: TaskState, slots: readonly WorkerSlots[]): WorkerSlots | undefined {
  const usable = slots.filter(({ count }) => count > 0)
  return usable.find(({ worker }) => !hasFailedAt(task, worker)) ?? usable[0]
}

/** True when the task or any member of its gang has failed at a worker: a gang fails again if any of its members runs on a faulty worker. */
function hasFailedAt (task: TaskState, worker: WorkerState): boolean {
  const { step } = task
  return step.spec.isGang ? step.tasks.some(member => member.failedOn.has(worker.key.id)) : task.failedOn.has(worker.key.id)
}

/** True for a step whose tasks are placed all together, if they can be. */
function isPlacedTogether ({ spec }: StepState): boolean {
  return spec.isGang || spec.isSameRack
}

function countSlots (slots: readonly WorkerSlots[]): number {
  return slots.reduce((sum, { count }) => sum + count, 0)
}

function countFreeSlots (workers: readonly WorkerState[], step: StepState, snapshot: CapacitySnapshot): number {
  return workers.reduce((sum, worker) => sum + snapshot.countFits(worker, step), 0)
}

/** Counts the tasks of a step that the workers could run if they were empty. */
function countTasksOfGroupWhenEmpty (workers: readonly WorkerState[], step: StepState): number {
  return workers.reduce((sum, worker) => sum + countTasksWhenEmpty(worker, step), 0)
}

/** True if a step has more waiting tasks than any of the racks could run if it were empty. */
function isWide (racks: ReadonlyArray<readonly WorkerState[]>, { step, tasks }: WaitingStep): boolean {
  return racks.every(rack => countTasksOfGroupWhenEmpty(rack, step) < tasks.length)
}

function countTasksWhenEmpty (worker: WorkerState, step: StepState): number {
  return Math.min(countFits(worker.capacity, step.spec), step.spec.maxPerWorker ?? Infinity)
}
