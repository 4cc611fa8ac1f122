/**
 * One level of the tree of fair shares: its members are classes, groups or caller queues. They are served by start-time fair queueing: each start
 * charges the slot time of the request to the member, and the member with the least charged slot time is served next.
 */

/** A member of a level. `virtualMs` is the slot time charged to the member, in milliseconds of the level's virtual clock. */
export interface ShareMember {
  virtualMs: number
}

export class ShareLevel<T extends ShareMember> {
  private readonly _active = new Set<T>()
  private _clockMs = 0

  /** Members with waiting requests. */
  get active (): ReadonlySet<T> {
    return this._active
  }

  /** Adds a member that now has waiting requests. The member gets no credit for the time in which it had none. */
  enter (member: T): void {
    if (this._active.has(member)) return
    member.virtualMs = Math.max(member.virtualMs, this._clockMs)
    this._active.add(member)
  }

  /** Removes a member that has no waiting requests any more. */
  leave (member: T): void {
    this._active.delete(member)
  }

  /** Selects the member to serve next among those for which `isEligible` returns true. */
  select (isEligible?: (member: T) => boolean): T | undefined {
    let best: T | undefined
    for (const member of this._active) {
      if (best !== undefined && member.virtualMs >= best.virtualMs) continue
      if (isEligible === undefined || isEligible(member)) best = member
    }
    return best
  }

  /** Charges the expected slot time of a starting request to a member. */
  start (member: T, costMs: number): void {
    this._clockMs = Math.max(this._clockMs, member.virtualMs)
    member.virtualMs += costMs
  }

  /** True when a member's virtual time is not ahead of the level's clock, so that removing the member does not change the order of service. */
  isCaughtUp (member: T): boolean {
    return member.virtualMs <= this._clockMs
  }
}
