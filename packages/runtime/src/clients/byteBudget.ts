/**
 * The byte budget of a process: how much is held for all clients together, and who gives up first when it is spent. It has no clock and no I/O.
 */

/** Share of the budget above which reading from clients that send bodies is slowed. */
const PRESSURE_SHARE = 0.75
/** Added to what a holder holds when holders are compared, so that time alone decides among those that hold nothing. */
const BASE_WEIGHT_BYTES = 1024

/** Something for which bytes are held, such as a connection. */
export interface ByteHolder {
  /** Bytes held beyond those that every holder has. */
  readonly heldBytes: number
  /** Time of the last transfer, in milliseconds. */
  readonly progressAt: number
  /** Start of the oldest request that is not answered, or of the idle time, in milliseconds. */
  readonly busySince: number
  /** False while a request is carried out for the holder: dropping it would leave the outcome open to its client. */
  readonly isDroppable: boolean
}

export class ByteBudget {
  private readonly _maxBytes: number
  private _usedBytes = 0

  constructor (maxBytes: number) {
    this._maxBytes = maxBytes
  }

  /** Bytes that are reserved now. */
  get usedBytes (): number {
    return this._usedBytes
  }

  /** True if so much is reserved that clients should be read more slowly. */
  get isPressed (): boolean {
    return this._usedBytes > this._maxBytes * PRESSURE_SHARE
  }

  /** Reserves bytes; returns false and reserves nothing if they exceed the budget. */
  reserve (bytes: number): boolean {
    if (this._usedBytes + bytes > this._maxBytes) return false
    this._usedBytes += bytes
    return true
  }

  release (bytes: number): void {
    if (bytes > this._usedBytes) throw new Error(`invariant: ${bytes} bytes released of ${this._usedBytes} that are reserved`)
    this._usedBytes -= bytes
  }
}

/** Which holders {@link findWorstHolder} considers: those that have been busy for at least `minBusyMs` and hold at least `minHeldBytes`. */
export interface WorstHolderOptions {
  readonly now: number
  readonly minBusyMs: number
  readonly minHeldBytes: number
}

/** Finds the holder that holds the most and has made the least progress, among those that may be dropped; undefined if there is none. */
export function findWorstHolder<T extends ByteHolder> (holders: Iterable<T>, options: WorstHolderOptions): T | undefined {
  const { now, minBusyMs, minHeldBytes } = options
  let worst: T | undefined
  let worstScore = -1
  for (const holder of holders) {
    const busyMs = now - holder.busySince
    if (busyMs < minBusyMs || holder.heldBytes < minHeldBytes || !holder.isDroppable) continue
    const score = (holder.heldBytes + BASE_WEIGHT_BYTES) * (busyMs + now - holder.progressAt)
    if (score <= worstScore) continue
    worst = holder
    worstScore = score
  }
  return worst
}
