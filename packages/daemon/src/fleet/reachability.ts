/**
 * An entry's own check of the failure domains: one member of each every round; when it does not answer, two more before
 * all of the failure domain count as out of reach. Members said to be silent are tried again until they answer.
 */
import type { Member } from '@dragonflylever/protocol'

import { isAnswering } from './fleetContext.js'
import type { FleetContext } from './fleetContext.js'
import type { FleetView } from './fleetView.js'

const FURTHER_SAMPLES = 2
const MAX_RETRIED = 8

export class Reachability {
  private readonly _context: FleetContext
  private readonly _view: FleetView

  constructor (context: FleetContext, view: FleetView) {
    this._context = context
    this._view = view
  }

  /** One round over all failure domains but this entry's own, and over silent members. */
  async check (): Promise<void> {
    const domains = this._context.table.domains.filter(domain => domain !== this._context.failureDomain)
    const retried = this._view.silent.slice(0, MAX_RETRIED)
    await Promise.all([...domains.map(domain => this._check(domain)), ...retried.map(member => this._retry(member))])
  }

  private async _check (domain: string): Promise<void> {
    const members = this._context.table.list(domain)
    const first = this._take(members)
    if (first === undefined) return
    if (await isAnswering(this._context, first)) return this._view.setUnreachable(domain, false, performance.now())
    const others = Array.from({ length: FURTHER_SAMPLES }, () => this._take(members)).filter(member => member !== undefined)
    const answers = await Promise.all(others.map(member => isAnswering(this._context, member)))
    this._view.setUnreachable(domain, !answers.includes(true), performance.now())
  }

  private _take (members: Member[]): Member | undefined {
    return members.splice(this._context.random.pick(members.length), 1)[0]
  }

  private async _retry (member: Member): Promise<void> {
    if (await isAnswering(this._context, member)) this._view.setSilent(member, false, performance.now())
  }
}
