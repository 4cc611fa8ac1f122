/**
 * One level of the hierarchy of fair shares. Members are served by start-time fair queueing: each start is
 * charged its slot time, and the member that has been charged least goes next.
 */

/** A member of a level. `virtualMs` is the slot time charged to it, on the clock of its level. */
export interface ShareMember {
  virtualMs: number
}

export class ShareLevel<T extends ShareMember> {
  private readonly _active = new Set<T>()
  private _clockMs = 0

  /** Members that have waiting requests. */
  get active (): ReadonlySet<T> {
    return this._active
  }

  /** Adds a member that has waiting requests now; time in which it had none gives no credit. */
  enter (member: T): void {
    if (this._active.has(member)) return
    member.virtualMs = Math.max(member.virtualMs, this._clockMs)
    this._active.add(member)
  }

  /** Takes a member out that has no waiting request any more. */
  leave (member: T): void {
    this._active.delete(member)
  }

  /** Selects the member that goes next among those that `isEligible` lets pass. */
  select (isEligible?: (member: T) => boolean): T | undefined {
    let best: T | undefined
    for (const member of this._active) {
      if (best !== undefined && member.virtualMs >= best.virtualMs) continue
      if (isEligible === undefined || isEligible(member)) best = member
    }
    return best
  }

  /** Charges a start to a member. */
  start (member: T, costMs: number): void {
    this._clockMs = Math.max(this._clockMs, member.virtualMs)
    member.virtualMs += costMs
  }

  /** True when a member without waiting requests has no charge left that would count against it. */
  isSettled (member: T): boolean {
    return member.virtualMs <= this._clockMs
  }
}
