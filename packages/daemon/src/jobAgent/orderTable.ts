/**
 * The orders that an agent knows of, each with where it stands. A stop bars its run for good.
 */
import { OrderStatus, makeRunKey } from '@dragonflylever/core/graphs/index'
import type { EndListing, OrderListing, RunListing } from '@dragonflylever/core/graphs/index'

/** How long an order that is settled stays known, in milliseconds; the planner repeats what it still wants. */
const KEEP_MS = 30_000

interface Order {
  readonly task: string
  readonly run: number
  status: OrderStatus
  reason: string
  /** Lists asked for after this one tell whether a stopped run is gone. */
  stopAnsweredAt: number | undefined
  settledAt: number | undefined
}

export class OrderTable {
  private readonly _orders = new Map<string, Order>()

  /** Notes a start; false when the run is known already. */
  beginStart (task: string, run: number): boolean {
    if (this._orders.has(makeRunKey({ task, run }))) return false
    this._orders.set(makeRunKey({ task, run }), { task, run, status: OrderStatus.sending, reason: '', stopAnsweredAt: undefined, settledAt: undefined })
    return true
  }

  /** Notes a stop, with why the start was refused if it was; false when one is under way or done. */
  beginStop (task: string, run: number, refusal = ''): boolean {
    this.beginStart(task, run)
    const order = this._get(task, run)
    if (order === undefined || order.status === OrderStatus.stopping || order.status === OrderStatus.barred) return false
    order.status = OrderStatus.stopping
    order.reason = refusal
    order.settledAt = undefined
    return true
  }

  /** True while a start is still to be sent or answered. */
  isStarting (task: string, run: number): boolean {
    return this._get(task, run)?.status === OrderStatus.sending
  }

  /** Notes the answer to a start; one that is being stopped stays so. */
  set (task: string, run: number, status: typeof OrderStatus.accepted | typeof OrderStatus.refused, reason = ''): void {
    const order = this._get(task, run)
    if (order === undefined || order.status !== OrderStatus.sending) return
    order.status = status
    order.reason = reason
    order.settledAt = status === OrderStatus.refused ? performance.now() : undefined
  }

  /** Notes that the worker answered a stop while the list of this number was the last one asked for. */
  noteStopAnswered (task: string, run: number, holdNumber: number): void {
    const order = this._get(task, run)
    if (order !== undefined) order.stopAnsweredAt = holdNumber
  }

  /** A stopped run that a later list doesn't show is gone; returns whether there was one. */
  settleStops (running: readonly RunListing[], holdNumber: number): boolean {
    const listed = new Set(running.map(makeRunKey))
    let hasSettled = false
    for (const [key, order] of this._orders) {
      if (order.status !== OrderStatus.stopping || order.stopAnsweredAt === undefined) continue
      if (holdNumber <= order.stopAnsweredAt || listed.has(key)) continue
      order.status = OrderStatus.barred
      order.settledAt = performance.now()
      hasSettled = true
    }
    return hasSettled
  }

  /** Forgets orders whose runs have ended; the list of ends tells of those. */
  dropEnded (ended: readonly EndListing[]): void {
    for (const end of ended) this._orders.delete(makeRunKey(end))
  }

  /** True while an order waits for its answer or for a list. */
  hasOpen (): boolean {
    for (const order of this._orders.values()) if (order.status === OrderStatus.sending || order.status === OrderStatus.stopping) return true
    return false
  }

  /** Lists the orders and forgets those settled long ago. */
  list (now: number): OrderListing[] {
    for (const [key, order] of this._orders) if (order.settledAt !== undefined && now - order.settledAt > KEEP_MS) this._orders.delete(key)
    return [...this._orders.values()].map(({ task, run, status, reason }) => ({ task, run, status, reason }))
  }

  private _get (task: string, run: number): Order | undefined {
    return this._orders.get(makeRunKey({ task, run }))
  }
}
