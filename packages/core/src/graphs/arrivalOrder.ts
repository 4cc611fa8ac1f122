/**
 * First come, first served: the baseline that other orders are measured against.
 */
import type { WaitingOrder, WaitingStep } from './waitingStep.js'

export class ArrivalOrder implements WaitingOrder {
  sort (steps: readonly WaitingStep[]): WaitingStep[] {
    return [...steps].sort((a, b) => a.step.job.graph.acceptedAt - b.step.job.graph.acceptedAt)
  }
}
