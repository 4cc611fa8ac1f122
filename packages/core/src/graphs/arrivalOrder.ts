/**
 * Orders waiting steps by arrival (first come, first served); the baseline for other orders.
 */
import type { WaitingOrder, WaitingStep } from './waitingStep.js'

export class ArrivalOrder implements WaitingOrder {
  sort (steps: readonly WaitingStep[]): WaitingStep[] {
    return [...steps].sort((a, b) => a.step.job.graph.acceptedAt - b.step.job.graph.acceptedAt)
  }
}
