/**
 * Long polling for agents' reports: each request is answered when there are orders for its workers, or when its maximum wait is over.
 */
import type { GraphPlanner, WorkerKey, WorkerOrders, WorkerReport } from '@dragonflylever/core/graphs/index'
import type { RpcParams, RpcResultValue, WorkerOrdersMessage } from '@dragonflylever/protocol'

interface PendingReport {
  readonly keys: readonly WorkerKey[]
  readonly receivedAt: number
  readonly timer: NodeJS.Timeout
  readonly resolve: (result: RpcResultValue<'workerReports'>) => void
}

/** Dependencies of {@link ReportLongPoll}. */
export interface ReportLongPollDependencies {
  readonly planner: GraphPlanner
  readonly epoch: number
  /** Returns true while answers may permit agents to extend the leases of runs. */
  readonly mayGrant: () => boolean
  /** Returns true while answers may contain starts. */
  readonly mayStart: () => boolean
  /** Called after reports have been accepted. */
  readonly onReports: () => void
}

export class ReportLongPoll {
  private readonly _dependencies: ReportLongPollDependencies
  private readonly _pending = new Map<string, PendingReport>()
  /** Newest report of each agent, by agent name: the identifier of the start of the agent's process, and the number of the report. */
  private readonly _newestReports = new Map<string, { readonly start: string, readonly number: number }>()

  constructor (dependencies: ReportLongPollDependencies) {
    this._dependencies = dependencies
  }

  /** Returns true if the agent has sent a report to this session. */
  hasAgent (agent: string): boolean {
    return this._newestReports.has(agent)
  }

  /**
   * Passes an agent's reports to the planner. Resolves with the orders for the reported workers, or with none if a later request of the
   * agent has arrived.
   */
  acceptReports (params: RpcParams<'workerReports'>): Promise<RpcResultValue<'workerReports'>> {
    const receivedAt = performance.now()
    if (this._isSuperseded(params)) return Promise.resolve({ epoch: this._dependencies.epoch, orders: [] })
    this._newestReports.set(params.agent, { start: params.start, number: params.number })
    const pending = this._pending.get(params.agent)
    if (pending !== undefined) this._answerRequest(params.agent, pending, [])
    const keys: WorkerKey[] = []
    for (const report of params.reports) {
      const isAccepted = this._dependencies.planner.acceptReport(report as WorkerReport, receivedAt)
      if (isAccepted) keys.push(report.key)
    }
    const result = new Promise<RpcResultValue<'workerReports'>>(resolve => {
      const timer = setTimeout(() => this._answerWithOrders(params.agent), params.waitMs)
      this._pending.set(params.agent, { keys, receivedAt, timer, resolve })
    })
    this._dependencies.onReports()
    return result
  }

  /** Answers the pending requests for which the planner has orders for at least one reported worker. */
  answerRequestsWithOrders (): void {
    const mayStart = this._dependencies.mayStart()
    for (const [agent, pending] of this._pending) {
      if (pending.keys.some(key => this._dependencies.planner.hasOrders(key, mayStart))) this._answerWithOrders(agent)
    }
  }

  close (): void {
    for (const [agent, pending] of this._pending) this._answerRequest(agent, pending, [])
  }

  /**
   * Returns true if a later report from the same agent process has already arrived. The older one describes an outdated state, in
   * which runs that have ended since would appear as missing or orphaned.
   */
  private _isSuperseded (params: RpcParams<'workerReports'>): boolean {
    const newest = this._newestReports.get(params.agent)
    return newest !== undefined && newest.start === params.start && newest.number > params.number
  }

  private _answerWithOrders (agent: string): void {
    const pending = this._pending.get(agent)
    if (pending === undefined) return
    const mayGrant = this._dependencies.mayGrant()
    const mayStart = this._dependencies.mayStart()
    const orders = pending.keys.map(key => this._dependencies.planner.answerReport(key, pending.receivedAt, mayGrant, mayStart)).filter(answer => answer !== undefined)
    this._answerRequest(agent, pending, orders)
  }

  private _answerRequest (agent: string, pending: PendingReport, orders: readonly WorkerOrders[]): void {
    clearTimeout(pending.timer)
    this._pending.delete(agent)
    pending.resolve({ epoch: this._dependencies.epoch, heldMs: performance.now() - pending.receivedAt, orders: orders as WorkerOrdersMessage[] })
  }
}
