/**
 * Barrier for gangs on worker stand-ins: the members of a gang (the tasks of a step that must run together) begin to work when all have
 * joined, and end together.
 */

/** A running task of a gang. It waits until {@link GangMember.begin} is called and then works. */
export interface GangMember {
  readonly task: string
  begin (): void
  /** Ends the member because another member of its gang ended. */
  end (how: 'done' | 'broken'): void
}

interface Gang {
  readonly size: number
  readonly members: Set<GangMember>
  hasBegun: boolean
}

export class GangBarrier {
  private readonly _gangs = new Map<string, Gang>()

  /** Adds a member to the gang that is identified by its step and run number. When the gang has `size` members, all of them begin. */
  join (step: string, run: number, size: number, member: GangMember): void {
    const key = `${step}/${run}`
    const gang = this._gangs.get(key) ?? { size, members: new Set<GangMember>(), hasBegun: false }
    this._gangs.set(key, gang)
    gang.members.add(member)
    if (gang.members.size < size || gang.hasBegun) return
    gang.hasBegun = true
    for (const waiting of gang.members) waiting.begin()
  }

  /** Removes a member from its gang. If the gang has begun, ends the other members as well, with the same `how`. */
  leave (step: string, run: number, member: GangMember, how: 'done' | 'broken'): void {
    const gang = this._gangs.get(`${step}/${run}`)
    if (gang === undefined || !gang.members.delete(member) || !gang.hasBegun) return
    this._gangs.delete(`${step}/${run}`)
    for (const other of gang.members) other.end(how)
  }
}
