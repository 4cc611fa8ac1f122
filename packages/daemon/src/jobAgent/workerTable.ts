/**
 * Table of the workers on an agent's host. It accepts their heartbeats, keeps a controller for the current incarnation of each worker, and
 * removes incarnations that were replaced and workers whose heartbeats have stopped.
 */
import type { RunWorker } from '@dragonflylever/adapters'
import type { WorkerOrdersMessage } from '@dragonflylever/protocol'
import { readClocks } from '@dragonflylever/runtime'
import type { Logger } from '@dragonflylever/runtime'

import type { CollectedReports } from './plannerLink.js'
import { RecentCrashes } from './recentCrashes.js'
import { StartValidity } from './startValidity.js'
import { WorkerController } from './workerController.js'
import type { WorkerAnnouncement } from './workerController.js'

/**
 * Time without a heartbeat after which a worker that doesn't answer polls either is no longer reported, in milliseconds; about 20 heartbeat
 * intervals.
 */
const HEARTBEAT_TIMEOUT_MS = 30_000

/** Time after which an announced worker that was ignored is forgotten unless it is announced again, in milliseconds; about three heartbeat intervals. */
const PENDING_MS = 5_000

/**
 * Maximum number of workers that are tracked, and of announced ones that wait to be. Beyond it, the worker that was added first among those that have
 * never answered makes room. A host has few workers, but other processes may announce any number.
 */
const MAX_WORKERS = 64

/** Maximum number of workers in a report that have never answered. */
const MAX_UNANSWERED_REPORTED = 4

/** Dependencies of {@link WorkerTable}. */
export interface WorkerTableDependencies {
  readonly region: string
  /** Lease time that an answer of the planner permits, in milliseconds of the worker's clock. */
  readonly runLeaseMs: number
  /** Time after an answer of the planner within which its starts may be sent to the workers, in milliseconds; without a limit if undefined. */
  readonly startValidityMs?: number | undefined
  readonly logger: Logger
  /** Creates the client for calls to a worker. */
  readonly openWorker: (announcement: WorkerAnnouncement) => RunWorker
  readonly onChange: () => void
}

/** An announced worker that is not taken up yet. */
interface PendingWorker {
  readonly announcement: WorkerAnnouncement
  readonly announcedAt: number
}

interface TrackedWorker {
  readonly controller: WorkerController
  lastHeartbeatAt: number
}

export class WorkerTable {
  private readonly _dependencies: WorkerTableDependencies
  private readonly _workers = new Map<string, TrackedWorker>()
  /** Announced incarnations that would replace a worker which still answers as an earlier one, by worker id. */
  private readonly _pending = new Map<string, PendingWorker>()
  private _epoch = 0
  private readonly _recentCrashes = new RecentCrashes()

  constructor (dependencies: WorkerTableDependencies) {
    this._dependencies = dependencies
  }

  /** Applies a worker's heartbeat; ignored if a later incarnation of the worker is already known. */
  acceptHeartbeat (announcement: WorkerAnnouncement): void {
    const now = performance.now()
    const known = this._workers.get(announcement.id)
    if (known !== undefined && known.controller.announcement.born > announcement.born) {
      this._dependencies.logger.info({ worker: announcement.id, born: announcement.born }, 'ignored a heartbeat of an earlier incarnation')
      return
    }
    if (known !== undefined && known.controller.announcement.born === announcement.born) {
      known.lastHeartbeatAt = now
      known.controller.applyHeartbeat(announcement)
      return
    }
    const rival = this._findAnsweringRival(announcement)
    if (rival !== undefined) {
      if (this._pending.size >= MAX_WORKERS && !this._pending.has(announcement.id)) return this._logFull(announcement)
      this._pending.set(announcement.id, { announcement, announcedAt: now })
      const { id, born } = rival.announcement
      this._dependencies.logger.warn({ worker: announcement.id, born: announcement.born, address: announcement.address, service: announcement.service, answering: id, answeringBorn: born }, 'ignoring an announced worker for now: an earlier one answers at its address')
      return
    }
    this._addWorker(announcement, now)
  }

  private _addWorker (announcement: WorkerAnnouncement, now: number): void {
    this._pending.delete(announcement.id)
    this._removeCrashedWorker(announcement.id, 'it restarted')
    this._removeWorkersAtAddress(announcement)
    if (!this._makeRoom()) return this._logFull(announcement)
    this._workers.set(announcement.id, { controller: this._createController(announcement), lastHeartbeatAt: now })
    this._dependencies.logger.info({ worker: announcement.id, born: announcement.born, address: announcement.address, service: announcement.service, labels: announcement.labels }, 'worker added after its first heartbeat')
    this._dependencies.onChange()
  }

  /** Makes room for one more worker. Returns false if all tracked workers have answered. */
  private _makeRoom (): boolean {
    if (this._workers.size < MAX_WORKERS) return true
    for (const [id, { controller }] of this._workers) {
      if (controller.hasAnswered) continue
      this._removeWorker(id, `it has never answered, and more than ${MAX_WORKERS} workers were announced`)
      return true
    }
    return false
  }

  private _logFull ({ id, address }: WorkerAnnouncement): void {
    this._dependencies.logger.warn({ worker: id, address, maximum: MAX_WORKERS }, 'ignoring a heartbeat: as many workers were announced as an agent keeps')
  }

  /** Records that a worker announced its shutdown. The worker is still reported to the planner until its heartbeats time out. */
  markLeaving (id: string): void {
    this._dependencies.logger.info({ worker: id }, 'worker announced its shutdown')
    this._workers.get(id)?.controller.markLeaving()
  }

  /**
   * Collects the reports of the workers for the planner, after removing the workers whose heartbeats have timed out. Of the workers that have never
   * answered only a few are reported: they may not exist, and the planner has use only for one that it knows from before this agent started.
   */
  collectReports (): CollectedReports {
    const now = performance.now()
    this._addPendingWorkers()
    for (const [id, { controller, lastHeartbeatAt }] of this._workers) {
      // A worker whose heartbeats are lost or late still works as long as it answers; removing it would end its runs.
      if (now - lastHeartbeatAt > HEARTBEAT_TIMEOUT_MS && !controller.isReachable) this._removeWorker(id, 'its heartbeats stopped and it does not answer')
    }
    const all = [...this._workers.values()].map(worker => worker.controller)
    const unanswered = new Set(all.filter(controller => !controller.hasAnswered).slice(MAX_UNANSWERED_REPORTED))
    const controllers = all.filter(controller => !unanswered.has(controller))
    const clocks = controllers.map(controller => controller.readClock())
    const reports = controllers.map(controller => controller.makeReport())
    const bases = new Map(controllers.map((controller, index) => [controller.announcement.id, { clockMs: clocks[index] ?? 0, number: controller.reportNumber }]))
    return { reports, bases }
  }

  /**
   * Passes the planner's orders to the controllers of the workers; orders for other incarnations are ignored. The planner made its answer at `answeredSince`
   * or later.
   */
  applyOrders (orders: readonly WorkerOrdersMessage[], epoch: number, collected: CollectedReports, answeredSince = readClocks()): void {
    const { startValidityMs } = this._dependencies
    const validity = startValidityMs === undefined ? undefined : new StartValidity(answeredSince, startValidityMs)
    this._epoch = Math.max(this._epoch, epoch)
    for (const { controller } of this._workers.values()) controller.recordEpoch(this._epoch)
    for (const workerOrders of orders) {
      const worker = this._workers.get(workerOrders.key.id)
      const base = collected.bases.get(workerOrders.key.id)
      if (base === undefined || worker === undefined || worker.controller.announcement.born !== workerOrders.key.born) continue
      const starts = workerOrders.starts.map(start => ({ ...start, ticket: start.ticket }))
      worker.controller.applyOrders({ ...workerOrders, starts }, epoch, base, validity)
    }
  }

  close (): void {
    this._pending.clear()
    for (const id of [...this._workers.keys()]) this._removeWorker(id, 'the agent is stopping')
  }

  private _createController (announcement: WorkerAnnouncement): WorkerController {
    return new WorkerController(announcement, {
      worker: this._dependencies.openWorker(announcement),
      region: this._dependencies.region,
      logger: this._dependencies.logger,
      runLeaseMs: this._dependencies.runLeaseMs,
      epoch: this._epoch,
      listRecentCrashes: () => this._recentCrashes.list(announcement.address, performance.now()),
      onChange: this._dependencies.onChange,
      onOtherIncarnation: () => this._removeIncarnation(announcement)
    })
  }

  /** Removes an incarnation of a worker because another incarnation answers at its address. The other is added at its first heartbeat. */
  private _removeIncarnation (announcement: WorkerAnnouncement): void {
    const worker = this._workers.get(announcement.id)
    if (worker === undefined || worker.controller.announcement.born !== announcement.born) return
    this._removeCrashedWorker(announcement.id, 'another incarnation of it answers')
    this._addPendingWorkers()
    this._dependencies.onChange()
  }

  /** Adds the announced workers whose earlier incarnations no longer answer. */
  private _addPendingWorkers (): void {
    const now = performance.now()
    for (const [id, { announcement, announcedAt }] of [...this._pending]) {
      if (now - announcedAt > PENDING_MS) this._pending.delete(id)
      else if (this._findAnsweringRival(announcement) === undefined) this._addWorker(announcement, now)
    }
  }

  /** Finds a worker that an announced one would replace, and that still answers. */
  private _findAnsweringRival (announcement: WorkerAnnouncement): WorkerController | undefined {
    for (const { controller } of this._workers.values()) {
      const { id, address, born } = controller.announcement
      if ((id === announcement.id || address === announcement.address) && born < announcement.born && controller.isAnswering) return controller
    }
    return undefined
  }

  /** Removes workers with other ids that were started earlier at the same address. They have ended, since the new worker uses that address. */
  private _removeWorkersAtAddress (announcement: WorkerAnnouncement): void {
    for (const [id, { controller }] of this._workers) {
      const other = controller.announcement
      if (other.address === announcement.address && other.born < announcement.born) this._removeCrashedWorker(id, `worker ${announcement.id} took its address`)
    }
  }

  /** Removes a worker of which a later incarnation has started, and remembers the runs that may have crashed it. */
  private _removeCrashedWorker (id: string, reason: string): void {
    const controller = this._workers.get(id)?.controller
    const suspects = controller?.listCrashSuspects() ?? []
    if (controller !== undefined && suspects.length > 0) {
      const { address, born } = controller.announcement
      this._dependencies.logger.warn({ worker: id, born, suspects }, 'worker crashed right after runs had started; reporting them to the planner')
      this._recentCrashes.add(address, suspects, performance.now())
    }
    this._removeWorker(id, reason)
  }

  private _removeWorker (id: string, reason: string): void {
    const worker = this._workers.get(id)
    if (worker === undefined) return
    worker.controller.close()
    this._workers.delete(id)
    this._dependencies.logger.info({ worker: id, born: worker.controller.announcement.born, reason }, 'worker removed')
  }
}
