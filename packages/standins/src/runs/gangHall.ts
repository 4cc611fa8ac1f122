/**
 * Where the members of gangs meet: they begin when all of one run are there, and end together.
 */

/** A member that waits or works. */
export interface GangMember {
  readonly task: string
  begin (): void
  /** Ends the member because another one ended. */
  end (how: 'done' | 'broken'): void
}

interface Gang {
  readonly size: number
  readonly members: Set<GangMember>
  hasBegun: boolean
}

export class GangHall {
  private readonly _gangs = new Map<string, Gang>()

  /** Adds a member; all begin when the last has come. */
  join (step: string, run: number, size: number, member: GangMember): void {
    const key = `${step}/${run}`
    const gang = this._gangs.get(key) ?? { size, members: new Set<GangMember>(), hasBegun: false }
    this._gangs.set(key, gang)
    gang.members.add(member)
    if (gang.members.size < size || gang.hasBegun) return
    gang.hasBegun = true
    for (const one of gang.members) one.begin()
  }

  /** Takes a member out; the others of a gang that has begun end with it. */
  leave (step: string, run: number, member: GangMember, how: 'done' | 'broken'): void {
    const gang = this._gangs.get(`${step}/${run}`)
    if (gang === undefined || !gang.members.delete(member) || !gang.hasBegun) return
    this._gangs.delete(`${step}/${run}`)
    for (const other of gang.members) other.end(how)
  }
}
