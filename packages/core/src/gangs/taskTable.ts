/**
 * Table of the tasks of one agent, with their reservations, start barrier, leases and fencing by epoch. Does no I/O: the agent starts
 * and kills the processes.
 * A task incarnation runs at most once; after it has ended in any way, it is refused for good.
 */
import { CapacityTable } from './fleetModel.js'
import { TaskStatus } from './gangMessages.js'
import type { AgentCommand, TaskIncarnation, TaskReport } from './gangMessages.js'
import type { Resources } from './jobTypes.js'

/** Identity, capacity and lease duration of an agent. */
export interface TaskTableOptions {
  readonly workerId: string
  readonly capacity: Resources
  /** How long a task may run after the last renewal by its planner, in milliseconds; also the lifetime of a reservation. */
  readonly leaseMs: number
  /** Maximum number of tasks whose last ended incarnation is remembered, so that a delayed command can't start it again. */
  readonly maxTombstones?: number
}

interface TaskEntry {
  readonly id: TaskIncarnation
  readonly shape: Resources
  status: TaskStatus
  leaseExpiresAt: number
}

/** Answer of an agent to a command; `fenced` means that the command was refused, and carries the highest epoch that the agent knows. */
export type AgentAnswer =
  | { readonly kind: 'reported', readonly report: TaskReport }
  | { readonly kind: 'fenced', readonly epoch: number }

const MAX_TOMBSTONES = 16_384
const HOLDING_STATUSES: ReadonlySet<TaskStatus> = new Set([TaskStatus.reserved, TaskStatus.ready, TaskStatus.running])

export class TaskTable {
  private readonly _options: TaskTableOptions
  private readonly _free = new CapacityTable(1)
  private readonly _entries = new Map<string, TaskEntry>()
  /** Highest ended incarnation of each task, by job id and task number. */
  private readonly _tombstones = new Map<string, number>()
  private _epoch = 0

  constructor (options: TaskTableOptions) {
    this._options = options
    this._free.add(0, options.capacity, 1)
  }

  /** Records a planner's epoch; returns false when a later epoch is known. Called before an inventory of the tasks is sent to the planner. */
  acceptEpoch (epoch: number): boolean {
    if (epoch < this._epoch) return false
    this._epoch = epoch
    return true
  }

  /** Carries out a command of a planner; the answer reports the resulting status of the task. */
  executeCommand (command: AgentCommand, now: number): AgentAnswer {
    if (!this.acceptEpoch(command.epoch)) return { kind: 'fenced', epoch: this._epoch }
    this.expireLeases(now)
    const entry = this._getEntry(command.id)
    if (command.kind === 'reserve' && entry === undefined) this._reserve(command.id, command.shape, now)
    if (command.kind === 'prepare' && entry?.status === TaskStatus.reserved) entry.status = TaskStatus.ready
    if (command.kind === 'go' && entry?.status === TaskStatus.ready) entry.status = TaskStatus.running
    if (command.kind === 'stop') this._remove(command.id)
    return { kind: 'reported', report: this._makeReport(command.id) }
  }

  /** Renews the lease of a task. The lease counts from `fromAt`, when the agent asked for the renewal, so that a late answer extends nothing. */
  renewLease (id: TaskIncarnation, epoch: number, fromAt: number, now: number): void {
    if (!this.acceptEpoch(epoch)) return
    this.expireLeases(now)
    const entry = this._getEntry(id)
    if (entry !== undefined) entry.leaseExpiresAt = Math.max(entry.leaseExpiresAt, fromAt + this._options.leaseMs)
  }

  /** Records how a running task ended. The task is kept until the planner's stop command arrives, which may be sent several times. */
  finishTask (id: TaskIncarnation, status: 'finished' | 'failed' | 'checkpointed'): void {
    const entry = this._getEntry(id)
    if (entry === undefined || entry.status !== TaskStatus.running) return
    entry.status = status
    this._free.add(0, entry.shape, 1)
  }

  /** Ends tasks and reservations whose lease has expired, and returns them; the agent must kill their processes. */
  expireLeases (now: number): TaskIncarnation[] {
    const lapsed = [...this._entries.values()].filter(entry => HOLDING_STATUSES.has(entry.status) && entry.leaseExpiresAt <= now)
    for (const entry of lapsed) this._remove(entry.id)
    return lapsed.map(entry => entry.id)
  }

  /** Returns all tasks with their status. */
  listTasks (): TaskReport[] {
    return [...this._entries.values()].map(entry => this._makeReport(entry.id))
  }

  private _reserve (id: TaskIncarnation, shape: Resources, now: number): void {
    if ((this._tombstones.get(makeTaskKey(id)) ?? -1) >= id.incarnation) return
    if (this._free.countFits(0, shape) < 1 || this._entries.has(makeTaskKey(id))) return
    this._free.add(0, shape, -1)
    this._entries.set(makeTaskKey(id), { id, shape, status: TaskStatus.reserved, leaseExpiresAt: now + this._options.leaseMs })
  }

  private _remove (id: TaskIncarnation): void {
    const key = makeTaskKey(id)
    const last = Math.max(id.incarnation, this._tombstones.get(key) ?? -1)
    this._tombstones.delete(key)
    this._tombstones.set(key, last)
    const oldest = this._tombstones.keys().next().value
    if (this._tombstones.size > (this._options.maxTombstones ?? MAX_TOMBSTONES) && oldest !== undefined) this._tombstones.delete(oldest)
    const entry = this._getEntry(id)
    if (entry === undefined) return
    if (HOLDING_STATUSES.has(entry.status)) this._free.add(0, entry.shape, 1)
    this._entries.delete(key)
  }

  private _getEntry (id: TaskIncarnation): TaskEntry | undefined {
    const entry = this._entries.get(makeTaskKey(id))
    return entry?.id.incarnation === id.incarnation ? entry : undefined
  }

  private _makeReport (id: TaskIncarnation): TaskReport {
    return { workerId: this._options.workerId, id, status: this._getEntry(id)?.status ?? TaskStatus.gone }
  }
}

function makeTaskKey (id: TaskIncarnation): string {
  return `${id.jobId}/${id.task}`
}
