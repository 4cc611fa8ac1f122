/**
 * Runs tasks of gangs at one agent: the task table decides on each command, and the worker executes it. A task runs only while
 * its lease, renewed by the planner, is valid. The worker keeps a second lease for each task, renewed by the agent, so that the
 * task also stops when the agent dies.
 */
import type { AgentAnswer, AgentCommand, TaskIncarnation, TaskTable } from '@dragonflylever/core'
import { TaskState, isHoldingResources } from '@dragonflylever/adapters'
import type { TaskReport as WorkerReport, Worker } from '@dragonflylever/adapters'
import type { TaskCommandMessage, TaskReportMessage } from '@dragonflylever/protocol'
import type { Logger } from '@dragonflylever/runtime'

/** Duration of a task's lease at its worker, in milliseconds; renewed each time the agent polls the worker. */
const WORKER_LEASE_MS = 5_000
const OBSERVE_INTERVAL_MS = 500
const STOP_POLL_INTERVAL_MS = 100
const DRAIN_POLL_INTERVAL_MS = 200

/** Dependencies of {@link TaskRunner}. */
export interface TaskRunnerDependencies {
  readonly workerId: string
  readonly table: TaskTable
  readonly worker: Worker
  readonly logger: Logger
  /** Called when tasks have ended by themselves, without a command of the planner. */
  readonly onEnded: () => void
}

interface TrackedTask {
  readonly reservation: Extract<TaskCommandMessage, { kind: 'reserve' }>
  checkpoint: string
  ranMs: number
  isStopping: boolean
}

export class TaskRunner {
  private readonly _dependencies: TaskRunnerDependencies
  private readonly _trackedTasks = new Map<string, TrackedTask>()
  private readonly _timer: NodeJS.Timeout
  private _observing: Promise<void> | undefined

  constructor (dependencies: TaskRunnerDependencies) {
    this._dependencies = dependencies
    this._timer = setInterval(() => { this._observing ??= this._observeWorker().finally(() => { this._observing = undefined }) }, OBSERVE_INTERVAL_MS)
  }

  /** Number of tasks that hold resources or whose end the planner has not yet acknowledged. */
  get taskCount (): number {
    return this._dependencies.table.listTasks().length
  }

  /**
   * Executes a planner's commands in order; returns a report for each. Stops at a command whose epoch is lower than one already accepted
   * and returns that higher epoch as `fencedBy`.
   */
  async executeCommands (commands: readonly TaskCommandMessage[]): Promise<{ fencedBy?: number, reports: TaskReportMessage[] }> {
    const reports: TaskReportMessage[] = []
    for (const command of commands) {
      const answer = await this._executeCommand(command)
      if (answer.kind === 'fenced') return { fencedBy: answer.epoch, reports }
      reports.push(this._makeReport(answer.report.id, answer.report.status))
    }
    return { reports }
  }

  /** Returns a report for each task in the task table. */
  listReports (): TaskReportMessage[] {
    return this._dependencies.table.listTasks().map(({ id, status }) => this._makeReport(id, status))
  }

  /** Stops the tasks that an earlier process of this agent left running at the worker; called once, before the first command. */
  async stopTasksOfEarlierProcess (): Promise<void> {
    const outcome = await this._dependencies.worker.listTasks()
    if (outcome.kind !== 'ok') return
    const leftovers = outcome.tasks.filter(task => isHoldingResources(task.state))
    await Promise.all(leftovers.map(task => this._dependencies.worker.stop(task.taskId)))
    if (leftovers.length > 0) this._dependencies.logger.warn({ tasks: leftovers.length }, 'tasks of an earlier process of this agent stopped')
  }

  /** Resolves when no task remains at this agent; the planner meanwhile moves tasks that can be checkpointed to other workers. */
  async drain (): Promise<void> {
    while (this.taskCount > 0) await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_INTERVAL_MS))
  }

  /** Stops every task at the worker; called when the agent shuts down. */
  async close (): Promise<void> {
    clearInterval(this._timer)
    await this._observing
    await Promise.all([...this._trackedTasks.values()].map(held => this._stopAtWorker(held.reservation.id)))
  }

  private async _executeCommand (command: TaskCommandMessage): Promise<AgentAnswer> {
    switch (command.kind) {
      case 'reserve': return this._reserve(command)
      case 'prepare': return this._prepare(command)
      case 'go': return this._start(command)
      case 'checkpoint': return this._checkpoint(command)
      case 'stop': return this._stop(command)
    }
  }

  private _reserve (command: Extract<TaskCommandMessage, { kind: 'reserve' }>): AgentAnswer {
    const answer = this._applyToTable(command)
    const key = makeTaskId(command.id)
    const isNew = answer.kind === 'reported' && answer.report.status === 'reserved' && !this._trackedTasks.has(key)
    if (isNew) this._trackedTasks.set(key, { reservation: command, checkpoint: command.checkpoint, ranMs: 0, isStopping: false })
    return answer
  }

  private async _prepare (command: AgentCommand): Promise<AgentAnswer> {
    const held = this._trackedTasks.get(makeTaskId(command.id))
    if (held === undefined || !this._dependencies.table.acceptEpoch(command.epoch)) return this._applyToTable(command)
    const { jobId, incarnation } = command.id
    const outcome = await this._dependencies.worker.prepare({
      taskId: makeTaskId(command.id),
      jobId,
      incarnation,
      shape: held.reservation.shape,
      payload: held.reservation.payload,
      checkpoint: held.reservation.checkpoint,
      leaseMs: WORKER_LEASE_MS
    })
    if (outcome.kind === 'ok') return this._applyToTable(command)
    this._dependencies.logger.warn({ job: jobId, task: command.id.task, reason: outcome.message }, 'task could not be prepared at the worker; stopping the task')
    return this._stop(command)
  }

  private async _start (command: AgentCommand): Promise<AgentAnswer> {
    const answer = this._applyToTable(command)
    if (answer.kind !== 'reported' || answer.report.status !== 'running') return answer
    const outcome = await this._dependencies.worker.start(makeTaskId(command.id))
    if (outcome.kind === 'ok') return answer
    this._dependencies.logger.warn({ job: command.id.jobId, task: command.id.task, reason: outcome.message }, 'task could not be started at the worker; reporting the task as failed')
    await this._stopAtWorker(command.id)
    this._dependencies.table.finishTask(command.id, 'failed')
    return this._applyToTable(command)
  }

  private async _checkpoint (command: AgentCommand): Promise<AgentAnswer> {
    const answer = this._applyToTable(command)
    const held = this._trackedTasks.get(makeTaskId(command.id))
    if (answer.kind !== 'reported' || answer.report.status !== 'running' || held === undefined || held.isStopping) return answer
    held.isStopping = true
    const outcome = await this._dependencies.worker.checkpoint(makeTaskId(command.id))
    if (outcome.kind === 'ok') held.checkpoint = outcome.checkpoint
    await this._stopAtWorker(command.id)
    this._dependencies.table.finishTask(command.id, outcome.kind === 'ok' ? 'checkpointed' : 'failed')
    return this._applyToTable(command)
  }

  private async _stop (command: AgentCommand): Promise<AgentAnswer> {
    const stop: AgentCommand = { kind: 'stop', epoch: command.epoch, id: command.id }
    if (!this._dependencies.table.acceptEpoch(command.epoch)) return this._dependencies.table.executeCommand(stop, performance.now())
    const key = makeTaskId(command.id)
    if (this._trackedTasks.has(key)) await this._stopAtWorker(command.id)
    this._trackedTasks.delete(key)
    return this._applyToTable(stop)
  }

  private _applyToTable (command: AgentCommand): AgentAnswer {
    this._stopExpiredTasks()
    return this._dependencies.table.executeCommand(command, performance.now())
  }

  /** Stops a task at the worker and waits until it holds no resources. A task that ignores the stop ends when its lease at the worker expires. */
  private async _stopAtWorker (id: TaskIncarnation): Promise<void> {
    const key = makeTaskId(id)
    const held = this._trackedTasks.get(key)
    if (held !== undefined) held.isStopping = true
    const timeoutAt = performance.now() + WORKER_LEASE_MS
    await this._dependencies.worker.stop(key)
    while (await this._isHeldByWorker(key) && performance.now() < timeoutAt) await new Promise(resolve => setTimeout(resolve, STOP_POLL_INTERVAL_MS))
  }

  private async _isHeldByWorker (key: string): Promise<boolean> {
    const outcome = await this._dependencies.worker.listTasks()
    if (outcome.kind !== 'ok') return true
    return outcome.tasks.some(task => task.taskId === key && isHoldingResources(task.state))
  }

  private _stopExpiredTasks (): void {
    for (const id of this._dependencies.table.expireLeases(performance.now())) {
      this._dependencies.logger.warn({ job: id.jobId, task: id.task, incarnation: id.incarnation }, 'task lease expired; stopping the task')
      void this._stopAtWorker(id).then(() => this._trackedTasks.delete(makeTaskId(id)))
    }
  }

  /** Renews the tasks' leases at the worker and records the tasks that have ended without a command. */
  private async _observeWorker (): Promise<void> {
    this._stopExpiredTasks()
    const active = [...this._trackedTasks].filter(([, held]) => !held.isStopping)
    await Promise.all(active.map(([key]) => this._dependencies.worker.renew(key)))
    const outcome = await this._dependencies.worker.listTasks()
    if (outcome.kind !== 'ok') return
    const reports = new Map(outcome.tasks.map(task => [task.taskId, task]))
    const ended = active.filter(([key, held]) => this._recordWorkerReport(held, reports.get(key)))
    if (ended.length > 0) this._dependencies.onEnded()
  }

  private _recordWorkerReport (held: TrackedTask, report: WorkerReport | undefined): boolean {
    if (report === undefined || held.isStopping) return false
    held.ranMs = report.ranMs
    if (report.checkpoint !== '') held.checkpoint = report.checkpoint
    if (isHoldingResources(report.state)) return false
    held.isStopping = true
    this._dependencies.table.finishTask(held.reservation.id, report.state === TaskState.done ? 'finished' : 'failed')
    this._dependencies.logger.info({ job: held.reservation.id.jobId, task: held.reservation.id.task, state: report.state, message: report.message }, 'task ended without a command from the planner')
    return true
  }

  private _makeReport (id: TaskIncarnation, status: TaskReportMessage['status']): TaskReportMessage {
    const held = this._trackedTasks.get(makeTaskId(id))
    return { workerId: this._dependencies.workerId, id, status, checkpoint: held?.checkpoint ?? '', ranMs: held?.ranMs ?? 0 }
  }
}

/** Returns the id by which the worker knows a task. */
export function makeTaskId (id: TaskIncarnation): string {
  return `${id.jobId}/${id.incarnation}/${id.task}`
}
