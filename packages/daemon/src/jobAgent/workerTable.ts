/**
 * The workers beside an agent: takes their heartbeats, keeps each life of a worker, and drops lives that are over.
 */
import type { RunWorker } from '@dragonflylever/adapters'
import type { WorkerOrdersMessage } from '@dragonflylever/protocol'
import type { Logger } from '@dragonflylever/runtime'

import type { CollectedReports } from './plannerLink.js'
import { WorkerKeeper } from './workerKeeper.js'
import type { WorkerAnnouncement } from './workerKeeper.js'

/** A worker that has not announced itself for this long is no longer reported, in milliseconds; some 20 heartbeats. */
const FORGET_MS = 30_000

/** What a table works with. */
export interface WorkerTableParts {
  readonly region: string
  readonly authorityMs: number
  readonly logger: Logger
  /** Opens the connection to a worker. */
  readonly openWorker: (announcement: WorkerAnnouncement) => RunWorker
  readonly onChange: () => void
}

interface Kept {
  readonly keeper: WorkerKeeper
  heardAt: number
}

export class WorkerTable {
  private readonly _parts: WorkerTableParts
  private readonly _kept = new Map<string, Kept>()

  constructor (parts: WorkerTableParts) {
    this._parts = parts
  }

  /** Takes a heartbeat over. One of an earlier life changes nothing. */
  accept (announcement: WorkerAnnouncement): void {
    const now = performance.now()
    const known = this._kept.get(announcement.id)
    if (known !== undefined && known.keeper.announcement.born > announcement.born) {
      this._parts.logger.info({ worker: announcement.id, born: announcement.born }, 'heartbeat of an earlier life ignored')
      return
    }
    if (known !== undefined && known.keeper.announcement.born === announcement.born) {
      known.heardAt = now
      known.keeper.update(announcement)
      return
    }
    this._drop(announcement.id, 'it started anew')
    this._dropEarlier(announcement)
    this._kept.set(announcement.id, { keeper: this._open(announcement), heardAt: now })
    this._parts.logger.info({ worker: announcement.id, born: announcement.born, address: announcement.address, service: announcement.service, labels: announcement.labels }, 'worker announced itself')
    this._parts.onChange()
  }

  /** Notes that a worker said that it ends; it is told of until it is over, and a while longer. */
  noteLeave (id: string): void {
    this._parts.logger.info({ worker: id }, 'worker leaves')
    this._kept.get(id)?.keeper.noteLeave()
  }

  /** Collects the reports of all workers. */
  collect (): CollectedReports {
    const now = performance.now()
    for (const [id, kept] of this._kept) if (now - kept.heardAt > FORGET_MS) this._drop(id, 'it has not announced itself for long')
    const keepers = [...this._kept.values()].map(kept => kept.keeper)
    const clocks = new Map(keepers.map(keeper => [keeper.announcement.id, keeper.readClock()]))
    return { reports: keepers.map(keeper => keeper.describe()), clocks }
  }

  /** Hands the planner's orders to their workers. */
  order (orders: readonly WorkerOrdersMessage[], epoch: number, collected: CollectedReports): void {
    for (const one of orders) {
      const kept = this._kept.get(one.key.id)
      if (kept === undefined || kept.keeper.announcement.born !== one.key.born) continue
      const starts = one.starts.map(start => ({ ...start, ticket: start.ticket }))
      kept.keeper.accept({ ...one, starts }, epoch, collected.clocks.get(one.key.id) ?? 0)
    }
  }

  close (): void {
    for (const id of [...this._kept.keys()]) this._drop(id, 'the agent stops')
  }

  private _open (announcement: WorkerAnnouncement): WorkerKeeper {
    return new WorkerKeeper(announcement, {
      worker: this._parts.openWorker(announcement),
      region: this._parts.region,
      logger: this._parts.logger,
      authorityMs: this._parts.authorityMs,
      onChange: this._parts.onChange,
      onOtherLife: () => this._endLife(announcement)
    })
  }

  /** Another life answers under the worker's address; its heartbeat will tell of it. */
  private _endLife (announcement: WorkerAnnouncement): void {
    const kept = this._kept.get(announcement.id)
    if (kept === undefined || kept.keeper.announcement.born !== announcement.born) return
    this._drop(announcement.id, 'another life of it answers')
    this._parts.onChange()
  }

  /** Ends the lives of other workers that were at the same address before. */
  private _dropEarlier (announcement: WorkerAnnouncement): void {
    for (const [id, { keeper }] of this._kept) {
      const other = keeper.announcement
      if (other.address === announcement.address && other.born < announcement.born) this._drop(id, `worker ${announcement.id} took its address`)
    }
  }

  private _drop (id: string, reason: string): void {
    const kept = this._kept.get(id)
    if (kept === undefined) return
    kept.keeper.close()
    this._kept.delete(id)
    this._parts.logger.info({ worker: id, born: kept.keeper.announcement.born, reason }, 'worker dropped')
  }
}
