/**
 * Divides the time in which an evacuation must be in force between the processes that a start passes through. A start is sent to an agent only while
 * the planner's knowledge is at most `maxKnowledgeAgeMs` old, the agent sends it to the worker at most `startValidityMs` later, and its call takes at
 * most {@link START_CALL_MS}; the sum is the bound.
 */

/** Longest time from sending a start to the worker until it has arrived or is given up, in milliseconds: a call of 400 ms, and 100 ms for late timers. */
const START_CALL_MS = 500
/** Share of the bound after which the planner's knowledge is too old for starts to be sent. */
const KNOWLEDGE_SHARE = 0.5
/**
 * Share of the bound after which a silent watch must be noticed. The store is asked to answer 0.7 s earlier, so that two calls in a row, each with an answer
 * that takes 0.4 s, stay below the share above with a bound of 5 s.
 */
const SILENCE_SHARE = 0.3
/** Shortest validity of a start, in milliseconds; with less, no start would be carried out. Bounds below 1.6 s can't be kept therefore. */
const MIN_START_VALIDITY_MS = 300

/** Times in milliseconds. */
export interface EvacuationTimes {
  /** Time since the store confirmed the known evacuations after which no starts are sent to agents. */
  readonly maxKnowledgeAgeMs: number
  /** Time after the planner's answer with a start within which the agent may send it to the worker. */
  readonly startValidityMs: number
  /** Time after which a watch that hears nothing must have found out whether its connection is dead. */
  readonly watchSilenceMs: number
  /** Time after the planner has seen an evacuation from which no start that it sent before can be carried out. */
  readonly inForceMs: number
}

/** Derives the times from the time in which an evacuation must be in force, in milliseconds. */
export function computeEvacuationTimes (boundMs: number): EvacuationTimes {
  const maxKnowledgeAgeMs = boundMs * KNOWLEDGE_SHARE
  const startValidityMs = Math.max(MIN_START_VALIDITY_MS, boundMs - maxKnowledgeAgeMs - START_CALL_MS)
  return { maxKnowledgeAgeMs, startValidityMs, watchSilenceMs: boundMs * SILENCE_SHARE, inForceMs: startValidityMs + START_CALL_MS }
}
