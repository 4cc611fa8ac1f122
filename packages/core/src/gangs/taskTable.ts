/**
 * An agent's tasks: reservations, the start barrier, leases and fencing. Pure: the agent carries out what it says.
 * A task incarnation runs at most once; after its end, of whatever kind, it is refused for good.
 */
import { CapacityTable } from './fleetModel.js'
import { TaskStatus } from './gangMessages.js'
import type { AgentCommand, TaskIncarnation, TaskReport } from './gangMessages.js'
import type { Resources } from './jobTypes.js'

/** What the agent has and its lease length. */
export interface TaskTableOptions {
  readonly workerId: string
  readonly capacity: Resources
  /** How long a task outlives the last sign of its planner; also the life of a reservation. */
  readonly leaseMs: number
  /** Most ended incarnations remembered per worker, by job. */
  readonly maxTombstones?: number
}

interface TaskEntry {
  readonly id: TaskIncarnation
  readonly shape: Resources
  status: TaskStatus
  leaseExpiresAt: number
}

/** Answer of an agent to a command. */
export type AgentAnswer =
  | { readonly kind: 'reported', readonly report: TaskReport }
  | { readonly kind: 'fenced', readonly epoch: number }

const MAX_TOMBSTONES = 16_384
const HOLDING_STATUSES: ReadonlySet<TaskStatus> = new Set([TaskStatus.reserved, TaskStatus.ready, TaskStatus.running])

export class TaskTable {
  private readonly _options: TaskTableOptions
  private readonly _free = new CapacityTable(1)
  private readonly _entries = new Map<string, TaskEntry>()
  /** Highest ended incarnation, by job and task. */
  private readonly _tombstones = new Map<string, number>()
  private _epoch = 0

  constructor (options: TaskTableOptions) {
    this._options = options
    this._free.add(0, options.capacity, 1)
  }

  /** Takes a planner's epoch; false when a later one is known. Called before an inventory is given. */
  acceptEpoch (epoch: number): boolean {
    if (epoch < this._epoch) return false
    this._epoch = epoch
    return true
  }

  /** Carries out a command; the report says where the task stands then. */
  handle (command: AgentCommand, now: number): AgentAnswer {
    if (!this.acceptEpoch(command.epoch)) return { kind: 'fenced', epoch: this._epoch }
    this.expire(now)
    const entry = this._getEntry(command.id)
    if (command.kind === 'reserve' && entry === undefined) this._reserve(command.id, command.shape, now)
    if (command.kind === 'prepare' && entry?.status === TaskStatus.reserved) entry.status = TaskStatus.ready
    if (command.kind === 'go' && entry?.status === TaskStatus.ready) entry.status = TaskStatus.running
    if (command.kind === 'stop') this._remove(command.id)
    return { kind: 'reported', report: this._makeReport(command.id) }
  }

  /** Extends the lease of a task; `fromAt` is when the agent asked for it, so that a late answer extends nothing. */
  renew (id: TaskIncarnation, epoch: number, fromAt: number, now: number): void {
    if (!this.acceptEpoch(epoch)) return
    this.expire(now)
    const entry = this._getEntry(id)
    if (entry !== undefined) entry.leaseExpiresAt = Math.max(entry.leaseExpiresAt, fromAt + this._options.leaseMs)
  }

  /** Notes how a running task ended; kept until the planner has it stopped, for which it may ask again. */
  finish (id: TaskIncarnation, status: 'finished' | 'failed' | 'checkpointed'): void {
    const entry = this._getEntry(id)
    if (entry === undefined || entry.status !== TaskStatus.running) return
    entry.status = status
    this._free.add(0, entry.shape, 1)
  }

  /** Ends tasks and reservations whose lease lapsed; the agent must kill the processes of those returned. */
  expire (now: number): TaskIncarnation[] {
    const expired = [...this._entries.values()].filter(entry => HOLDING_STATUSES.has(entry.status) && entry.leaseExpiresAt <= now)
    for (const entry of expired) this._remove(entry.id)
    return expired.map(entry => entry.id)
  }

  /** All tasks with their status. */
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
