/**
 * An agent's report to the planner on a worker, and the planner's orders in answer.
 */
import type { RunEnd, TaskNeeds } from './graphTypes.js'
import type { WorkerKey } from './jobState.js'

/** Name of a run: its task and its number. */
export interface RunName {
  readonly task: string
  readonly run: number
}

/** Crash of a worker: the runs that had just started, one of which may have caused it. */
export interface CrashListing {
  readonly suspects: readonly RunName[]
}

/** A run that the worker lists as running. */
export interface RunListing {
  readonly task: string
  readonly run: number
  /** Last checkpoint; empty when there is none. */
  readonly checkpoint: string
  /** Progress that the worker reports, 0 to 100. */
  readonly percent: number
  /** Tail latency in milliseconds for a serving task, processors in use for any other. */
  readonly usage: number
  /** Time for one percent of progress, in milliseconds of the worker's clock, as the agent measured it; absent before, and from older agents. */
  readonly msPerPercent?: number
}

/** A run that has ended and whose end the worker still remembers. */
export interface EndListing {
  /** Sequence number of the end of the run within one incarnation of the worker, from 1. */
  readonly number: number
  readonly task: string
  readonly run: number
  readonly how: RunEnd
  readonly checkpoint: string
}

/** Status of an order to start or stop a run, at the agent that carries it out. */
export const OrderStatus = {
  /** The order is being sent and has not been answered yet. */
  sending: 'sending',
  /** The worker has accepted the start. */
  accepted: 'accepted',
  /** The worker has refused the start, and no earlier request to start the run can still take effect. */
  refused: 'refused',
  /** The run is being stopped. */
  stopping: 'stopping',
  /** The run doesn't exist at the worker and can never start there. */
  barred: 'barred'
} as const
export type OrderStatus = typeof OrderStatus[keyof typeof OrderStatus]

/** Why a worker, or its agent, refused to start a run. */
export const StartRefusal = {
  /** The worker has already accepted orders of a later planner. */
  fenced: 'fenced',
  /** A run of the task with the same or a higher number was stopped or has ended at this worker. */
  old: 'old',
  /** The lease that the start carried has expired. */
  late: 'late',
  room: 'room',
  ticket: 'ticket',
  /** The worker is unhealthy and has not executed the start. */
  unhealthy: 'unhealthy',
  /** The agent has not sent the start within the validity of its order. */
  expired: 'expired',
  invalid: 'invalid'
} as const
export type StartRefusal = typeof StartRefusal[keyof typeof StartRefusal]

/** An order that the agent has received, with its status. */
export interface OrderListing {
  readonly task: string
  readonly run: number
  readonly status: OrderStatus
  /** Why the start was refused, also when the run was barred afterwards; otherwise empty. */
  readonly reason: string
}

/** State of a worker as its agent reports it. */
export interface WorkerReport {
  readonly key: WorkerKey
  /** Address at which the agent calls the worker. */
  readonly address: string
  readonly service: string
  readonly rack: string
  readonly labels: readonly string[]
  /** Version of the worker's software; absent if the worker or an older agent doesn't say. */
  readonly version?: string
  readonly failureDomain: string
  readonly region: string
  readonly capacity: TaskNeeds
  readonly isDraining: boolean
  /** Minimum time until a draining worker leaves, in milliseconds. */
  readonly drainLeftMs: number | undefined
  /** How much longer a worker stays slow after its start, in milliseconds; absent once it isn't slow any more. */
  readonly coldLeftMs?: number | undefined
  /** True when this incarnation of the worker has certainly ended, so that none of its runs is alive. */
  readonly isOver: boolean
  /** False while the worker doesn't answer the agent's calls. */
  readonly isReachable: boolean
  /** Upper bound on how long the worker's runs may live without a further extension of its lease, in milliseconds. */
  readonly leaseLeftMs: number
  /** Increases with each list of runs that the agent received from the worker; 0 before the first. */
  readonly listNumber: number
  readonly running: readonly RunListing[]
  readonly ended: readonly EndListing[]
  /** True if the worker may have ended runs that `ended` lacks. A run that is listed neither as running nor as ended may then have ended. */
  readonly hasMoreEnds?: boolean
  readonly orders: readonly OrderListing[]
  /** True if the lists may lack runs, ends or orders, so that the absence of one proves nothing. */
  readonly isPartial?: boolean
  /** Recent crashes of earlier incarnations at this address right after runs had started. */
  readonly crashes: readonly CrashListing[]
}

/** An order to start a run, as sent to an agent. */
export interface StartOrder {
  readonly task: string
  readonly run: number
  readonly payload: string
  readonly checkpoint: string
  readonly ticket: string | undefined
}

/** The planner's orders for a worker. */
export interface WorkerOrders {
  readonly key: WorkerKey
  /** False when the agent must not extend the worker's lease. */
  readonly mayExtend: boolean
  /** Ends of runs up to this sequence number are acknowledged; the worker may forget them. */
  readonly seen: number
  readonly starts: readonly StartOrder[]
  readonly stops: ReadonlyArray<{ readonly task: string, readonly run: number }>
  /** Speeds of runs, in percent of full speed, that differ from those last sent to the worker. */
  readonly paces: ReadonlyArray<{ readonly task: string, readonly run: number, readonly percent: number }>
}
