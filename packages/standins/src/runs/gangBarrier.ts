/**
 * Barrier for gangs: the members of a gang begin to work when all have joined, and end together.
 */

/** Task of a gang that waits at the barrier or works. */
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

  /** Adds a member to the gang of a step and run number; all members begin when the gang has `size` members. */
  join (step: string, run: number, size: number, member: GangMember): void {
    const key = `${step}/${run}`
    const gang = this._gangs.get(key) ?? { size, members: new Set<GangMember>(), hasBegun: false }
    this._gangs.set(key, gang)
    gang.members.add(member)
    if (gang.members.size < size || gang.hasBegun) return
    gang.hasBegun = true
    for (const waiting of gang.members) waiting.begin()
  }

  /** Removes a member from its gang. If the gang has begun, the other members end as well, with `how`. */
  leave (step: string, run: number, member: GangMember, how: 'done' | 'broken'): void {
    const gang = this._gangs.get(`${step}/${run}`)
    if (gang === undefined || !gang.members.delete(member) || !gang.hasBegun) return
    this._gangs.delete(`${step}/${run}`)
    for (const other of gang.members) other.end(how)
  }
}
