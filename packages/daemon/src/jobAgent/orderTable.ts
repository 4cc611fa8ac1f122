/**
 * The orders that an agent has received, with the status of each. A stopped run is barred and is not started again.
 */
import { OrderStatus, makeRunKey } from '@dragonflylever/core/graphs/index'
import type { EndListing, OrderListing, RunListing } from '@dragonflylever/core/graphs/index'

/** How long a settled order is kept, in milliseconds. The planner repeats orders that it still wants carried out. */
const SETTLED_RETENTION_MS = 30_000

interface Order {
  readonly task: string
  readonly run: number
  status: OrderStatus
  reason: string
  /** Number of the last poll sent before the stop was answered. Only later polls can show that the run is gone. */
  stopAnsweredAtPoll: number | undefined
  settledAt: number | undefined
}

export class OrderTable {
  private readonly _orders = new Map<string, Order>()

  /** Records a start order. Returns false when there already is an order for the run. */
  beginStart (task: string, run: number): boolean {
    if (this._orders.has(makeRunKey({ task, run }))) return false
    this._orders.set(makeRunKey({ task, run }), { task, run, status: OrderStatus.sending, reason: '', stopAnsweredAtPoll: undefined, settledAt: undefined })
    return true
  }

  /** Records a stop, with the reason of a refused start, if any. Returns false when a stop is in progress or done. */
  beginStop (task: string, run: number, refusalReason = ''): boolean {
    this.beginStart(task, run)
    const order = this._getOrder(task, run)
    if (order === undefined || order.status === OrderStatus.stopping || order.status === OrderStatus.barred) return false
    order.status = OrderStatus.stopping
    order.reason = refusalReason
    order.settledAt = undefined
    return true
  }

  /** Returns true while a start waits to be sent or answered. */
  isStarting (task: string, run: number): boolean {
    return this._getOrder(task, run)?.status === OrderStatus.sending
  }

  /** Records the answer to a start. A run that is already being stopped keeps its status. */
  recordStartResult (task: string, run: number, status: typeof OrderStatus.accepted | typeof OrderStatus.refused, reason = ''): void {
    const order = this._getOrder(task, run)
    if (order === undefined || order.status !== OrderStatus.sending) return
    order.status = status
    order.reason = reason
    order.settledAt = status === OrderStatus.refused ? performance.now() : undefined
  }

  /** Records that the worker answered a stop when `pollNumber` was the last poll sent. */
  recordStopAnswer (task: string, run: number, pollNumber: number): void {
    const order = this._getOrder(task, run)
    if (order !== undefined) order.stopAnsweredAtPoll = pollNumber
  }

  /** Bars stopped runs that a later poll no longer lists as running. Returns whether there were any. */
  settleStops (running: readonly RunListing[], pollNumber: number): boolean {
    const listed = new Set(running.map(makeRunKey))
    let hasSettled = false
    for (const [key, order] of this._orders) {
      if (order.status !== OrderStatus.stopping || order.stopAnsweredAtPoll === undefined) continue
      if (pollNumber <= order.stopAnsweredAtPoll || listed.has(key)) continue
      order.status = OrderStatus.barred
      order.settledAt = performance.now()
      hasSettled = true
    }
    return hasSettled
  }

  /** Drops orders whose runs have ended. Those runs are reported by the list of ends. */
  dropEnded (ended: readonly EndListing[]): void {
    for (const end of ended) this._orders.delete(makeRunKey(end))
  }

  /** Returns true while an order waits for its answer or for a poll to confirm it. */
  hasPending (): boolean {
    for (const order of this._orders.values()) if (order.status === OrderStatus.sending || order.status === OrderStatus.stopping) return true
    return false
  }

  /** Lists the orders, after dropping those settled more than {@link SETTLED_RETENTION_MS} ago. */
  list (now: number): OrderListing[] {
    for (const [key, order] of this._orders) if (order.settledAt !== undefined && now - order.settledAt > SETTLED_RETENTION_MS) this._orders.delete(key)
    return [...this._orders.values()].map(({ task, run, status, reason }) => ({ task, run, status, reason }))
  }

  private _getOrder (task: string, run: number): Order | undefined {
    return this._orders.get(makeRunKey({ task, run }))
  }
}
