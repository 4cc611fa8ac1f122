/**
 * When an occurrence of a job is due, and how long it may take by the declarations of its queue.
 */
import type { JobGraph, QueuePolicy } from './graphTypes.js'
import type { StepState } from './jobState.js'

/** A job that takes up to this multiple of its objective still has a value, by the pricing rules. */
export const MAX_LATE_FACTOR = 3

/** Returns the time of day at which an occurrence of a job becomes due, in milliseconds since 1970. */
export function getDueTime (graph: JobGraph, occurrence: number): number {
  return graph.repeat === undefined ? graph.acceptedAt : graph.repeat.firstRunAt + occurrence * graph.repeat.intervalMs
}

/** Returns the time of the longest chain of steps of an occurrence; `getStepMs` returns the time of one step, in milliseconds. */
export function computeChainMs (steps: readonly StepState[], getStepMs: (step: StepState) => number): number {
  const ends: number[] = []
  let longestMs = 0
  for (const step of steps) {
    let startMs = 0
    for (const index of step.spec.after) startMs = Math.max(startMs, ends[index] ?? 0)
    const endMs = startMs + getStepMs(step)
    ends.push(endMs)
    longestMs = Math.max(longestMs, endMs)
  }
  return longestMs
}

/** Returns, by the index of each step, the time of the longest chain of steps that start after it, without steps that are done, in milliseconds. */
export function computeTailsMs (steps: readonly StepState[], getStepMs: (step: StepState) => number): number[] {
  const tails = steps.map(() => 0)
  for (const step of [...steps].reverse()) {
    const lengthMs = (step.remaining === 0 ? 0 : getStepMs(step)) + (tails[step.index] ?? 0)
    for (const before of step.spec.after) tails[before] = Math.max(tails[before] ?? 0, lengthMs)
  }
  return tails
}

/** Returns the time within which a job with the given chain has its full value, in milliseconds. */
export function computeObjectiveMs (queue: QueuePolicy, chainMs: number): number {
  return queue.stretch * chainMs + queue.targetLatencyMs
}

/**
 * Returns how long an occurrence of a job may still wait, in milliseconds, and end within its objective; negative if it will be late. `chainMs` is the time of the longest
 * chain of steps that are left, `wallTime` the time of day in milliseconds since 1970.
 */
export function computeSlackMs (graph: JobGraph, occurrence: number, chainMs: number, wallTime: number): number {
  return computeObjectiveMs(graph.queue, chainMs) - (wallTime - getDueTime(graph, occurrence)) - chainMs
}

/** Returns the time of the longest chain of the steps of an occurrence that are not done, in milliseconds. */
export function computeRemainingChainMs (steps: readonly StepState[], getStepMs: (step: StepState) => number): number {
  return computeChainMs(steps, step => step.remaining === 0 ? 0 : getStepMs(step))
}
