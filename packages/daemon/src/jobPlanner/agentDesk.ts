/**
 * Takes the agents' reports and holds each back until there is something to order, at most for the time that it allows.
 */
import type { GraphPlanner, WorkerKey, WorkerOrders, WorkerReport } from '@dragonflylever/core/graphs/index'
import type { RpcParams, RpcResultValue, WorkerOrdersMessage } from '@dragonflylever/protocol'

interface HeldReport {
  readonly keys: readonly WorkerKey[]
  readonly receivedAt: number
  readonly timer: NodeJS.Timeout
  readonly resolve: (result: RpcResultValue<'workerReports'>) => void
}

/** What a desk works with. */
export interface AgentDeskParts {
  readonly planner: GraphPlanner
  readonly epoch: number
  /** True while an answer may permit leases to be extended. */
  readonly mayGrant: () => boolean
  /** Called after reports were taken. */
  readonly onReports: () => void
}

export class AgentDesk {
  private readonly _parts: AgentDeskParts
  private readonly _held = new Map<string, HeldReport>()
  /** The newest report of each agent. */
  private readonly _newest = new Map<string, { readonly start: string, readonly number: number }>()

  constructor (parts: AgentDeskParts) {
    this._parts = parts
  }

  /** True when an agent has reported to this session. */
  hasAgent (agent: string): boolean {
    return this._newest.has(agent)
  }

  /** Takes reports over; resolves with the orders. */
  take (params: RpcParams<'workerReports'>): Promise<RpcResultValue<'workerReports'>> {
    const receivedAt = performance.now()
    if (this._isOvertaken(params)) return Promise.resolve({ epoch: this._parts.epoch, orders: [] })
    this._newest.set(params.agent, { start: params.start, number: params.number })
    const held = this._held.get(params.agent)
    if (held !== undefined) this._answer(params.agent, held, [])
    const keys: WorkerKey[] = []
    for (const report of params.reports) {
      const isTaken = this._parts.planner.acceptReport(report as WorkerReport, receivedAt)
      if (isTaken) keys.push(report.key)
    }
    const result = new Promise<RpcResultValue<'workerReports'>>(resolve => {
      const timer = setTimeout(() => this._release(params.agent), params.waitMs)
      this._held.set(params.agent, { keys, receivedAt, timer, resolve })
    })
    this._parts.onReports()
    return result
  }

  /** Answers the reports for which there is something to order. */
  releaseReady (): void {
    for (const [agent, held] of this._held) {
      if (held.keys.some(key => this._parts.planner.hasOrders(key))) this._release(agent)
    }
  }

  close (): void {
    for (const [agent, held] of this._held) this._answer(agent, held, [])
  }

  /** A report that a later one of the same process has overtaken tells what is over: runs that ended would seem missing or stray. */
  private _isOvertaken (params: RpcParams<'workerReports'>): boolean {
    const newest = this._newest.get(params.agent)
    return newest !== undefined && newest.start === params.start && newest.number > params.number
  }

  private _release (agent: string): void {
    const held = this._held.get(agent)
    if (held === undefined) return
    const mayGrant = this._parts.mayGrant()
    const orders = held.keys.map(key => this._parts.planner.answerReport(key, held.receivedAt, mayGrant)).filter(one => one !== undefined)
    this._answer(agent, held, orders)
  }

  private _answer (agent: string, held: HeldReport, orders: readonly WorkerOrders[]): void {
    clearTimeout(held.timer)
    this._held.delete(agent)
    held.resolve({ epoch: this._parts.epoch, orders: orders as WorkerOrdersMessage[] })
  }
}
