/**
 * The start and stop orders that an agent has received for one worker, with the status of each. A run whose stop is
 * confirmed is barred: it is not started again.
 */
import { OrderStatus, makeRunKey } from '@dragonflylever/core/graphs/index'
import type { EndListing, OrderListing, RunListing, RunName } from '@dragonflylever/core/graphs/index'

/**
 * How long the entry of a refused start or a barred run is kept in the table, in milliseconds. The planner repeats orders that it
 * still wants carried out.
 */
const SETTLED_RETENTION_MS = 30_000

interface Order {
  readonly task: string
  readonly run: number
  status: OrderStatus
  reason: string
  /** Number of the last poll that was sent before the worker answered the stop. Only later polls can show that the run has ended. */
  stopAnsweredAtPoll: number | undefined
  settledAt: number | undefined
  /** When the last start was sent that may have reached the worker; undefined before. */
  startSentAt: number | undefined
  /** True if the last start that may have reached the worker was not answered; the worker may still execute it seconds later. */
  isStartUnanswered: boolean
}

export class OrderTable {
  private readonly _orders = new Map<string, Order>()

  /** Records a start order. Returns false if there already is an order for the run. */
  beginStart (task: string, run: number): boolean {
    if (this._orders.has(makeRunKey({ task, run }))) return false
    this._orders.set(makeRunKey({ task, run }), { task, run, status: OrderStatus.sending, reason: '', stopAnsweredAtPoll: undefined, settledAt: undefined, startSentAt: undefined, isStartUnanswered: false })
    return true
  }

  /**
   * Records a stop order; `refusalReason` is empty unless the worker refused the start. Returns false if the run is already being
   * stopped or barred.
   */
  beginStop (task: string, run: number, refusalReason = ''): boolean {
    this.beginStart(task, run)
    const order = this._getOrder(task, run)
    if (order === undefined || order.status === OrderStatus.stopping || order.status === OrderStatus.barred) return false
    order.status = OrderStatus.stopping
    order.reason = refusalReason
    order.settledAt = undefined
    return true
  }

  /** Returns true while the worker has not answered the start of the run yet. */
  isStarting (task: string, run: number): boolean {
    return this._getOrder(task, run)?.status === OrderStatus.sending
  }

  /**
   * Records that a start which may have reached the worker was sent at `sentAt`, a monotonic time in milliseconds, and whether the worker
   * answered it.
   */
  recordStartSent (task: string, run: number, sentAt: number, isAnswered: boolean): void {
    const order = this._getOrder(task, run)
    if (order === undefined) return
    order.startSentAt = sentAt
    order.isStartUnanswered = !isAnswered
  }

  /**
   * Lists the runs that may have started at `since` or later and have not ended, in the order of their starts: those whose start was last
   * sent then, and those whose start was not answered and is not barred yet.
   */
  listStartedSince (since: number): RunName[] {
    const started = [...this._orders.values()].filter(order => order.status !== OrderStatus.refused && isPossiblyStartedSince(order, since))
    return started.map(({ task, run }) => ({ task, run }))
  }

  /** Records whether the worker accepted or refused a start. A run that is already being stopped keeps its status. */
  recordStartResult (task: string, run: number, status: typeof OrderStatus.accepted | typeof OrderStatus.refused, reason = ''): void {
    const order = this._getOrder(task, run)
    if (order === undefined || order.status !== OrderStatus.sending) return
    order.status = status
    order.reason = reason
    order.settledAt = status === OrderStatus.refused ? performance.now() : undefined
  }

  /** Records that the worker answered a stop; `pollNumber` is the number of the last poll that was sent before the answer. */
  recordStopAnswer (task: string, run: number, pollNumber: number): void {
    const order = this._getOrder(task, run)
    if (order !== undefined) order.stopAnsweredAtPoll = pollNumber
  }

  /**
   * Applies the result of a poll: bars each run whose stop was answered before the poll was sent and that is not listed as running.
   * Returns true if any run was barred.
   */
  recordConfirmedStops (running: readonly RunListing[], pollNumber: number): boolean {
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

  /** Removes the orders of runs that have ended, since the list of ended runs reports them. */
  dropEndedRuns (ended: readonly EndListing[]): void {
    for (const end of ended) this._orders.delete(makeRunKey(end))
  }

  /** Returns true while the worker has not answered a start, or no poll has confirmed a stop. */
  hasUnconfirmedOrder (): boolean {
    for (const order of this._orders.values()) if (order.status === OrderStatus.sending || order.status === OrderStatus.stopping) return true
    return false
  }

  /**
   * Lists the orders, after removing those that were refused or barred more than {@link SETTLED_RETENTION_MS} ago. An accepted start whose run is among
   * `running` is left out, since that says it all. `now` is monotonic, in milliseconds.
   */
  list (now: number, running: readonly RunListing[] = []): OrderListing[] {
    for (const [key, order] of this._orders) if (order.settledAt !== undefined && now - order.settledAt > SETTLED_RETENTION_MS) this._orders.delete(key)
    const listed = new Set(running.map(makeRunKey))
    const orders = [...this._orders].filter(([key, { status }]) => status !== OrderStatus.accepted || !listed.has(key)).map(([, order]) => order)
    return orders.map(({ task, run, status, reason }) => ({ task, run, status, reason }))
  }

  private _getOrder (task: string, run: number): Order | undefined {
    return this._orders.get(makeRunKey({ task, run }))
  }
}

function isPossiblyStartedSince ({ startSentAt, isStartUnanswered, status }: Order, since: number): boolean {
  if (startSentAt === undefined) return false
  return startSentAt >= since || (isStartUnanswered && status !== OrderStatus.barred)
}
