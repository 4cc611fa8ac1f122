/**
 * The agent's side of the protocol with the planner: handles task commands, renews the tasks' leases and stops orphaned tasks.
 */
import type { TaskTable } from '@dragonflylever/core'
import type { PeerRpc, RpcRegistry } from '@dragonflylever/protocol'

import type { TaskRunner } from './taskRunner.js'

/** Interval between reports to the planner, which renew the tasks' leases, in milliseconds; a lease lasts several such intervals. */
export const TASK_RENEW_INTERVAL_MS = 4_000
const RENEW_TIMEOUT_MS = 2_000
const NOTIFY_DELAY_MS = 100

/** Dependencies of {@link TaskService}. */
export interface TaskServiceDependencies {
  readonly workerId: string
  readonly table: TaskTable
  readonly runner: TaskRunner
  readonly peers: PeerRpc
}

export class TaskService {
  private readonly _dependencies: TaskServiceDependencies
  private _plannerAddress = ''
  private _epoch = 0
  private _timer: NodeJS.Timeout | undefined
  private _isRenewing = false
  private _isClosed = false

  constructor (dependencies: TaskServiceDependencies) {
    this._dependencies = dependencies
    this._scheduleRenewal(TASK_RENEW_INTERVAL_MS)
  }

  /** Registers the RPC method through which the planner sends task commands. */
  register (rpc: RpcRegistry): void {
    rpc.add('taskCommands', async params => {
      if (!this._dependencies.table.acceptEpoch(params.epoch)) return this._dependencies.runner.executeCommands(params.commands)
      this._plannerAddress = params.planner
      this._epoch = params.epoch
      const answer = await this._dependencies.runner.executeCommands(params.commands)
      return params.wantsInventory ? { ...answer, reports: this._dependencies.runner.listReports() } : answer
    })
  }

  /** Sends the next report to the planner shortly instead of at the end of the interval, for instance because a task has ended. */
  scheduleReport (): void {
    this._scheduleRenewal(NOTIFY_DELAY_MS)
  }

  close (): void {
    this._isClosed = true
    clearTimeout(this._timer)
  }

  private _scheduleRenewal (delayMs: number): void {
    clearTimeout(this._timer)
    if (!this._isClosed) this._timer = setTimeout(() => { void this._renewLeases() }, delayMs)
  }

  private async _renewLeases (): Promise<void> {
    const reports = this._dependencies.runner.listReports()
    if (!this._isRenewing && reports.length > 0 && this._plannerAddress !== '') {
      this._isRenewing = true
      await this._sendReports(reports)
      this._isRenewing = false
    }
    this._scheduleRenewal(TASK_RENEW_INTERVAL_MS)
  }

  private async _sendReports (reports: ReturnType<TaskRunner['listReports']>): Promise<void> {
    const { workerId, table, runner, peers } = this._dependencies
    const requestedAt = performance.now()
    const epoch = this._epoch
    const outcome = await peers.call(this._plannerAddress, 'taskRenew', { workerId, epoch, reports }, RENEW_TIMEOUT_MS)
    if (outcome.kind !== 'ok' || outcome.value.epoch !== epoch) return
    for (const id of outcome.value.renewed) table.renewLease(id, epoch, requestedAt, performance.now())
    await runner.executeCommands(outcome.value.orphans.map(id => ({ kind: 'stop', epoch, id })))
  }
}
