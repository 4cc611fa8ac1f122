/**
 * Chooses between slots at workers of different speed. The price of a slot's time grows faster than its speed, since fast workers are needed for work
 * with little time. So work takes the slowest workers that are fast enough, and the members of a gang take workers that are alike: a fast worker that
 * waits for a slow one is paid for as long as the slow one works.
 */

/** Slots of one worker for the tasks of a step. */
export interface SpeedSlots {
  /** Factor by which a task of the step takes longer here than at a worker of middle speed near the data. */
  readonly factor: number
  /** The same factor for the worker's class of speed. */
  readonly classFactor: number
  /** Price of one slot for the time that a task takes at a worker of middle speed. */
  readonly price: number
  readonly count: number
}

/** Slots for a step of which one choice consists, the preferred first. */
export interface SlotsChoice<T> {
  readonly slots: readonly T[]
  /** True when all tasks meet the objective wherever they are placed among the slots. */
  readonly isFit: boolean
  /** Among choices that are fit, the price of the work; among others, the factor of the slowest slots. */
  readonly cost: number
}

/** Exponent with which the price of a slot grows with the speed of its worker. With 1, slow and fast workers would cost the same for the same work. */
const PRICE_EXPONENT = 1.5
/** Width of a class of costs that count as equal, as a logarithm. Between them the tighter fit decides. */
const COST_TOLERANCE = 0.3

/** Factor by which each failed job at a worker raises the price of its slots; a failure outweighs any difference of speed. */
const FAILURE_FACTOR = 100

/** Returns the price of a slot at a worker with the given factor, at which `failures` jobs have failed since its last success. */
export function computePrice (workerFactor: number, failures: number): number {
  return workerFactor ** -PRICE_EXPONENT * (1 + FAILURE_FACTOR * failures)
}

/** Orders slots for tasks that end independently of each other: fast enough ones by price for the whole task, then the others by speed. */
export function sortForSingleTasks<T extends SpeedSlots> (slots: readonly T[], maxFactor: number): T[] {
  const fit = slots.filter(({ factor }) => factor <= maxFactor)
  const others = slots.filter(({ factor }) => factor > maxFactor)
  return [...fit.sort((a, b) => roundCost(a.price * a.classFactor) - roundCost(b.price * b.classFactor)), ...others.sort((a, b) => a.classFactor - b.classFactor)]
}

/**
 * Lists the choices for tasks that end together with the slowest: for each class of speed, the slots that are at least as fast. `slots` are sorted by
 * preference regardless of speed. Choices with too few slots are left out.
 */
export function listChoices<T extends SpeedSlots> (slots: readonly T[], taskCount: number, maxFactor: number): Array<SlotsChoice<T>> {
  const sorted = [...slots].sort((a, b) => a.price - b.price)
  const choices: Array<SlotsChoice<T>> = []
  for (const slowest of new Set(slots.map(({ classFactor }) => classFactor))) {
    const candidates = sorted.filter(({ classFactor }) => classFactor <= slowest)
    const fit = candidates.filter(({ factor }) => factor <= maxFactor)
    if (countSlots(fit) < taskCount) {
      if (countSlots(candidates) >= taskCount) choices.push({ slots: candidates, isFit: false, cost: roundCost(slowest) })
    } else if (fit.some(({ classFactor }) => classFactor === slowest)) choices.push({ slots: fit, isFit: true, cost: roundCost(computeCost(fit, taskCount)) })
  }
  return choices
}

/** Returns the mean price of the first `taskCount` slots for as long as the slowest of them works. */
function computeCost (slots: readonly SpeedSlots[], taskCount: number): number {
  let remaining = taskCount
  let price = 0
  let slowest = 0
  for (const slot of slots) {
    const taken = Math.min(remaining, slot.count)
    price += taken * slot.price
    slowest = Math.max(slowest, slot.classFactor)
    remaining -= taken
    if (remaining === 0) break
  }
  return price * slowest / taskCount
}

/** Returns the same number for costs that count as equal. */
function roundCost (cost: number): number {
  return Math.round(Math.log(cost) / COST_TOLERANCE)
}

function countSlots (slots: readonly SpeedSlots[]): number {
  return slots.reduce((sum, { count }) => sum + count, 0)
}
