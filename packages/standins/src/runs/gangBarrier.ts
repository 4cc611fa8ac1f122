/**
 * Barrier for the members of gangs: the members of one run begin when all have joined, and end together.
 */

/** A gang member that waits at the barrier or works. */
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

  /** Adds a member; all members begin when the last one has joined. */
  join (step: string, run: number, size: number, member: GangMember): void {
    const key = `${step}/${run}`
    const gang = this._gangs.get(key) ?? { size, members: new Set<GangMember>(), hasBegun: false }
    this._gangs.set(key, gang)
    gang.members.add(member)
    if (gang.members.size < size || gang.hasBegun) return
    gang.hasBegun = true
    for (const waiting of gang.members) waiting.begin()
  }

  /** Removes a member; when its gang has begun, the other members end as well. */
  leave (step: string, run: number, member: GangMember, how: 'done' | 'broken'): void {
    const gang = this._gangs.get(`${step}/${run}`)
    if (gang === undefined || !gang.members.delete(member) || !gang.hasBegun) return
    this._gangs.delete(`${step}/${run}`)
    for (const other of gang.members) other.end(how)
  }
}
