/**
 * The member lists of the failure domains that a process knows. A list is replaced only by a list of a higher epoch, or of
 * the same epoch and a higher version. Does no I/O and reads no clock.
 */
import type { DomainChange, ListVersion, Member, Summary } from '@dragonflylever/protocol'

import type { LeaderView } from '../duties/leaderElector.js'

/** Prefix of the name of a registrar's leader role; the name of its failure domain follows. */
export const REGISTRAR_ROLE_PREFIX = 'registrar/'
/** Maximum number of removed members remembered per list, so that an incremental change can name them. */
const MAX_REMOVED = 256

interface MemberList {
  readonly region: string
  readonly epoch: number
  readonly version: number
  /** Oldest version from which an incremental change can be made; a process with an older version gets the whole list. */
  readonly completeSince: number
  readonly registrar: { readonly id: string, readonly address: string }
  readonly fleetSlots: number
  readonly members: ReadonlyMap<string, { readonly member: Member, readonly version: number }>
  readonly removed: ReadonlyMap<string, number>
}

/**
 * Result of applying a change to a member list. `old`: the known list is as new or newer. `gap`: the change builds on a version that this
 * process does not have.
 */
export type ChangeOutcome = 'applied' | 'old' | 'gap'

/** Returns true when the epoch of `a` is higher than that of `b`, or the epochs are equal and its version is higher. */
export function isHigherVersion (a: ListVersion, b: ListVersion): boolean {
  return a[0] !== b[0] ? a[0] > b[0] : a[1] > b[1]
}

export class DomainTable {
  private readonly _rows = new Map<string, MemberList>()

  /** Names of all known failure domains. */
  get domains (): string[] {
    return [...this._rows.keys()]
  }

  /** Returns the epoch and version of a failure domain's list; [0, 0] when there is none. */
  getListVersion (domain: string): ListVersion {
    const row = this._rows.get(domain)
    return row === undefined ? [0, 0] : [row.epoch, row.version]
  }

  getRegion (domain: string): string | undefined {
    return this._rows.get(domain)?.region
  }

  /** Returns the id and address of the registrar that published a failure domain's list; undefined when the list is unknown. */
  getRegistrar (domain: string): { readonly id: string, readonly address: string } | undefined {
    return this._rows.get(domain)?.registrar
  }

  /** Lists the registrars of all known failure domains with their epochs. */
  listRegistrars (): LeaderView[] {
    return [...this._rows].map(([domain, { registrar, epoch }]) => ({ duty: `${REGISTRAR_ROLE_PREFIX}${domain}`, holder: registrar.id, address: registrar.address, epoch }))
  }

  /** Returns the total number of slots in the fleet as the failure domain's registrar last published it; 0 before that. */
  getFleetSlots (domain: string): number {
    return this._rows.get(domain)?.fleetSlots ?? 0
  }

  /** Returns the total number of slots of the agents that accept work, over all known failure domains. */
  sumSlots (): number {
    let slots = 0
    for (const domain of this.domains) for (const member of this.listMembers(domain)) if (member.state === 'alive') slots += member.agent?.slots ?? 0
    return slots
  }

  getMember (domain: string, id: string): Member | undefined {
    return this._rows.get(domain)?.members.get(id)?.member
  }

  /** Lists the members of a failure domain, including those that are leaving. */
  listMembers (domain: string): Member[] {
    return [...this._rows.get(domain)?.members.values() ?? []].map(row => row.member)
  }

  /** Returns the list versions of the given failure domains; [0, 0] for unknown ones. */
  getListVersions (domains: readonly string[]): Summary['domains'] {
    return Object.fromEntries(domains.map(domain => [domain, this.getListVersion(domain)]))
  }

  /** Applies a change if it is newer than the known list and, when incremental, builds on a version that is known here. */
  apply (change: DomainChange): ChangeOutcome {
    const [epoch, version] = this.getListVersion(change.domain)
    if (!isHigherVersion([change.epoch, change.version], [epoch, version])) return 'old'
    if (change.since === undefined) {
      this._replaceList(change)
      return 'applied'
    }
    if (change.epoch !== epoch || change.since > version) return 'gap'
    this._mergeChange(change)
    return 'applied'
  }

  /**
   * Returns the change from version `have` of a list to the known version: an incremental change where possible, otherwise the whole list;
   * undefined when the known list is not newer.
   */
  makeChangeSince (domain: string, have: ListVersion): DomainChange | undefined {
    const row = this._rows.get(domain)
    if (row === undefined || !isHigherVersion([row.epoch, row.version], have)) return undefined
    const { region, epoch, version, registrar, fleetSlots } = row
    const base = { domain, region, epoch, version, registrar, fleetSlots }
    const rows = [...row.members.values()]
    if (have[0] !== epoch || have[1] < row.completeSince) return { ...base, members: rows.map(({ member }) => member), removed: [] }
    const members = rows.filter(one => one.version > have[1]).map(({ member }) => member)
    const removed = [...row.removed].filter(([, removedAt]) => removedAt > have[1]).map(([id]) => id)
    return { ...base, since: have[1], members, removed }
  }

  private _replaceList (change: DomainChange): void {
    const members = new Map(change.members.map(member => [member.id, { member, version: change.version }]))
    this._rows.set(change.domain, { ...pickListFields(change), completeSince: change.version, members, removed: new Map() })
  }

  private _mergeChange (change: DomainChange): void {
    const row = this._rows.get(change.domain)
    if (row === undefined) throw new Error(`invariant: incremental change for failure domain ${change.domain}, whose member list is unknown`)
    const members = new Map(row.members)
    const removed = new Map(row.removed)
    for (const id of change.removed) {
      members.delete(id)
      removed.set(id, change.version)
    }
    for (const member of change.members) {
      members.set(member.id, { member, version: change.version })
      removed.delete(member.id)
    }
    const completeSince = dropOldestRemovals(removed, row.completeSince)
    this._rows.set(change.domain, { ...pickListFields(change), completeSince, members, removed })
  }
}

function pickListFields (change: DomainChange): Pick<MemberList, 'region' | 'epoch' | 'version' | 'registrar' | 'fleetSlots'> {
  return { region: change.region, epoch: change.epoch, version: change.version, registrar: change.registrar, fleetSlots: change.fleetSlots }
}

function dropOldestRemovals (removed: Map<string, number>, completeSince: number): number {
  let since = completeSince
  for (const [id, version] of [...removed].sort((a, b) => a[1] - b[1])) {
    if (removed.size <= MAX_REMOVED) break
    removed.delete(id)
    since = Math.max(since, version)
  }
  return since
}
