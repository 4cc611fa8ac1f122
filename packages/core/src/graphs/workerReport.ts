/**
 * What an agent tells the planner of a worker, and what the planner answers.
 */
import type { RunEnd, TaskNeeds } from './graphTypes.js'
import type { WorkerKey } from './jobState.js'

/** A run that the worker lists as running. */
export interface RunListing {
  readonly task: string
  readonly run: number
  /** Last checkpoint; empty when there is none. */
  readonly checkpoint: string
  /** Progress as the worker tells it, 0 to 100. */
  readonly percent: number
  /** Tail latency in ms of a serving task, else processors in use. */
  readonly usage: number
}

/** A run that has ended and whose end is not forgotten yet. */
export interface EndListing {
  /** Counts the ends of one life of the worker, from 1. */
  readonly number: number
  readonly task: string
  readonly run: number
  readonly how: RunEnd
  readonly checkpoint: string
}

/** Where an order stands at its agent. */
export const OrderStatus = {
  /** Sent or about to be; no answer yet. */
  sending: 'sending',
  /** The worker has accepted the start. */
  accepted: 'accepted',
  /** The worker has refused the start, and no earlier try of it can take effect any more. */
  refused: 'refused',
  /** A stop is under way. */
  stopping: 'stopping',
  /** The run isn't there and can never start. */
  barred: 'barred'
} as const
export type OrderStatus = typeof OrderStatus[keyof typeof OrderStatus]

/** Why a start was refused. */
export const StartRefusal = {
  /** A later planner has been here. */
  fenced: 'fenced',
  /** A run of the task that is not lower was stopped here or ended here. */
  old: 'old',
  /** The lease that the start carried is over. */
  late: 'late',
  room: 'room',
  ticket: 'ticket',
  /** The worker is not well and has done nothing. */
  unhealthy: 'unhealthy',
  invalid: 'invalid'
} as const
export type StartRefusal = typeof StartRefusal[keyof typeof StartRefusal]

/** An order that the agent knows of. */
export interface OrderListing {
  readonly task: string
  readonly run: number
  readonly status: OrderStatus
  /** Why a start was refused, also where the run was barred after that; else empty. */
  readonly reason: string
}

/** A worker as its agent tells of it. */
export interface WorkerReport {
  readonly key: WorkerKey
  /** Address at which the agent calls it. */
  readonly address: string
  readonly service: string
  readonly rack: string
  readonly labels: readonly string[]
  readonly failureDomain: string
  readonly region: string
  readonly capacity: TaskNeeds
  readonly isDraining: boolean
  /** Least time that is left to a draining worker, in milliseconds. */
  readonly drainLeftMs: number | undefined
  /** True when this life of the worker has surely ended; nothing runs there any more. */
  readonly isOver: boolean
  /** False while the worker leaves the agent's calls unanswered. */
  readonly isReachable: boolean
  /** How long its runs may live on without any further extension, in milliseconds; an upper bound. */
  readonly leaseLeftMs: number
  /** Grows with each list that the agent got; 0 before the first. */
  readonly listNumber: number
  readonly running: readonly RunListing[]
  readonly ended: readonly EndListing[]
  readonly orders: readonly OrderListing[]
}

/** A start as it goes to an agent. */
export interface StartOrder {
  readonly task: string
  readonly run: number
  readonly payload: string
  readonly checkpoint: string
  readonly ticket: string | undefined
}

/** What the planner wants of a worker. */
export interface WorkerOrders {
  readonly key: WorkerKey
  /** False when the agent must not extend the worker's lease. */
  readonly mayExtend: boolean
  /** Ends up to this number are stored; the worker may forget them. */
  readonly seen: number
  readonly starts: readonly StartOrder[]
  readonly stops: ReadonlyArray<{ readonly task: string, readonly run: number }>
  /** Shares of speed that differ from what the worker last was told. */
  readonly paces: ReadonlyArray<{ readonly task: string, readonly run: number, readonly percent: number }>
}
