/**
 * What workers announce in their heartbeats.
 */
import type { TaskNeeds } from '@dragonflylever/core/graphs/index'

/** Contents of a worker's heartbeat. */
export interface WorkerAnnouncement {
  readonly id: string
  readonly born: number
  readonly address: string
  readonly service: string
  readonly rack: string
  readonly labels: readonly string[]
  /** Version of the worker's software, if its heartbeat names one. */
  readonly version?: string
  readonly failureDomain: string
  readonly capacity: { readonly cpuMillis: number, readonly memoryMb: number, readonly accelerators: number }
  readonly isDraining: boolean
  readonly drainLeftMs: number | undefined
  /** How much longer the worker is slow after its start, in milliseconds; absent once it isn't. */
  readonly coldLeftMs?: number | undefined
  readonly clockMs: number
  /** Increases with each heartbeat of one incarnation. */
  readonly sequence: number
}

/** True if two capacities are equal. */
export function isSameCapacity (one: TaskNeeds, other: TaskNeeds): boolean {
  return one.cpuMillis === other.cpuMillis && one.memoryMb === other.memoryMb && one.accelerators === other.accelerators
}
