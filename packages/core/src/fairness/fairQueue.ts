/**
 * Queue that keeps guarantees and targets under any load: admission by predicted finish, fair shares over
 * class, organisation and caller, guaranteed slots first, and slots held back for urgent classes.
 */
import { NotRunReason } from '../outcome.js'
import type { OfferResult, QueuedRequest, RequestQueue, ShedRequest } from '../requestQueue.js'
import { getCallerQueue } from './callerQueues.js'
import { findLargestOffender } from './offender.js'
import { estimateMeanRun, estimateTypicalRun, predictFinish } from './finishPrediction.js'
import { IndexedHeap } from './indexedHeap.js'
import type { CallerQueue, QueueItem, RequestGroup } from './queueNodes.js'
import type { QueueReport } from './queueReport.js'
import { QueueTree } from './queueTree.js'
import { EMPTY_POLICY } from './requestPolicy.js'
import type { QueueCapacity, RequestPolicy } from './requestPolicy.js'
import { describeTree } from './describeTree.js'
import { ShedLog } from './shedLog.js'
import { selectGroup } from './selectGroup.js'
import { DEFAULT_RESERVE } from './slotReserve.js'
import type { ReserveOptions } from './slotReserve.js'

/** Constants of the admission. */
export interface AdmissionOptions {
  /** Factor on the predicted wait. */
  readonly waitFactor: number
  /** Shortest retry-after told, in milliseconds. */
  readonly minRetryAfterMs: number
}

export const DEFAULT_ADMISSION: AdmissionOptions = { waitFactor: 1.25, minRetryAfterMs: 50 }

/** Bounds and constants of a fair queue. */
export interface FairQueueOptions extends QueueCapacity {
  readonly maxWaiting: number
  readonly policy?: RequestPolicy
  readonly reserve?: ReserveOptions
  readonly admission?: AdmissionOptions
}

const USABLE_WEIGHT = 0.05
const APPLIED_TOLERANCE = 0.05

interface RunningRequest {
  readonly callerQueue: CallerQueue
  readonly chargedMs: number
}

type Refused = Extract<OfferResult, { kind: 'refused' }>

export class FairQueue implements RequestQueue {
  private readonly _tree = new QueueTree()
  private readonly _items = new Map<string, QueueItem>()
  private readonly _running = new Map<string, RunningRequest>()
  private readonly _byDeadline = new IndexedHeap<QueueItem>(item => item.request.deadlineAt)
  private readonly _hopeless = new Map<string, QueuedRequest>()
  private readonly _shedLog = new ShedLog()
  private readonly _maxWaiting: number
  private readonly _reserve: ReserveOptions
  private readonly _admission: AdmissionOptions
  private _policy: RequestPolicy
  private _usableSlots: number
  /** Usable slots that the guarantees were last applied to. */
  private _appliedSlots = 0
  private _capacity: QueueCapacity

  constructor (options: FairQueueOptions) {
    this._maxWaiting = options.maxWaiting
    this._reserve = options.reserve ?? DEFAULT_RESERVE
    this._admission = options.admission ?? DEFAULT_ADMISSION
    this._policy = options.policy ?? EMPTY_POLICY
    this._capacity = { slots: options.slots, fleetSlots: options.fleetSlots }
    this._usableSlots = options.slots
    this._update()
  }

  get size (): number {
    return this._items.size + this._hopeless.size
  }

  /** Takes new declarations over; waiting and running requests stay. */
  setPolicy (policy: RequestPolicy): void {
    this._policy = policy
    this._update()
  }

  /** Takes a change of the fleet over. */
  setCapacity (capacity: QueueCapacity): void {
    if (capacity.slots === this._capacity.slots && capacity.fleetSlots === this._capacity.fleetSlots) return
    this._usableSlots += capacity.slots - this._capacity.slots
    this._capacity = capacity
    this._update()
  }

  offer (request: QueuedRequest, now: number): OfferResult {
    const group = this._tree.findGroup(request.className, request.organisation)
    this._tree.noteArrival(group.classNode, now)
    const refused = this._checkAdmission(request, group, now)
    if (refused !== undefined) {
      this._noteShed(request, group, refused, now)
      return refused
    }
    const item = this._tree.add(request, group)
    this._items.set(request.id, item)
    this._byDeadline.add(item)
    return this._settleOverflow(item, now)
  }

  take (now: number): QueuedRequest | undefined {
    while (this._tree.running < this._capacity.slots) {
      const group = selectGroup(this._tree, this._capacity, this._usableSlots, this._reserve)
      const item = group?.level.select()?.items.first
      if (group === undefined || item === undefined) return undefined
      this._drop(item)
      if (this._isHopeless(item, now)) {
        this._hopeless.set(item.request.id, item.request)
        group.shed++
        continue
      }
      this._start(item)
      return item.request
    }
    return undefined
  }

  remove (id: string): boolean {
    if (this._hopeless.delete(id)) return true
    const item = this._items.get(id)
    if (item === undefined) return false
    this._drop(item)
    return true
  }

  expire (now: number): QueuedRequest[] {
    const expired = [...this._hopeless.values()]
    this._hopeless.clear()
    for (;;) {
      const item = this._byDeadline.first
      if (item === undefined || item.request.deadlineAt > now) return expired
      this._drop(item)
      item.callerQueue.group.shed++
      expired.push(item.request)
    }
  }

  /** Notes that a taken request has left its slot; `ranMs` of 0 says that it did not run. */
  finish (request: QueuedRequest, ranMs: number): void {
    const running = this._running.get(request.id)
    if (running === undefined) throw new Error('invariant: only a taken request finishes')
    this._running.delete(request.id)
    this._learnUsableSlots()
    this._tree.finish(running.callerQueue, ranMs - running.chargedMs)
    if (ranMs <= 0) return
    running.callerQueue.group.runTimes.note(ranMs)
    running.callerQueue.group.classNode.runTimes.note(ranMs)
  }

  /** Returns what waits, runs and was shed, for people. */
  describe (): QueueReport {
    return describeTree(this._tree, this._capacity, this._usableSlots, this._reserve, this._shedLog.list())
  }

  /** While requests wait, as many run as this queue can get; other entries may use the rest of the slots. */
  private _learnUsableSlots (): void {
    const seen = this._tree.waiting > 0 ? this._tree.running : this._capacity.slots
    const next = this._usableSlots + USABLE_WEIGHT * (seen - this._usableSlots)
    this._usableSlots = Math.max(1, Math.min(this._capacity.slots, next))
    if (Math.abs(this._usableSlots - this._appliedSlots) > this._appliedSlots * APPLIED_TOLERANCE) this._update()
  }

  private _update (): void {
    let guaranteed = 0
    for (const slots of this._policy.guarantees.values()) guaranteed += slots
    this._appliedSlots = this._usableSlots
    const { fleetSlots } = this._capacity
    this._tree.update(this._policy, this._usableSlots / Math.max(1, this._usableSlots, fleetSlots, guaranteed))
  }

  /** Refuses what can't start or finish in time. A group with nothing under way is always let in, so that run times stay fresh. */
  private _checkAdmission (request: QueuedRequest, group: RequestGroup, now: number): Refused | undefined {
    const leftMs = request.deadlineAt - now
    if (leftMs <= 0) return { kind: 'refused', reason: NotRunReason.deadlinePassed, retryAfterMs: 0 }
    if (group.waiting + group.running === 0) return undefined
    const callerQueue = getCallerQueue(group, request.caller)
    const { waitMs, slowWaitMs, runMs } = predictFinish(this._tree, group, callerQueue, this._usableSlots)
    if (waitMs === 0) return undefined
    const { waitFactor, minRetryAfterMs } = this._admission
    const startWithinMs = (group.classNode.targets.startWithinMs ?? Infinity) - (now - request.arrivedAt)
    const lateMs = Math.max(waitMs * waitFactor - startWithinMs, slowWaitMs * waitFactor + runMs - leftMs)
    if (lateMs <= 0) return undefined
    const reason = runMs > leftMs ? NotRunReason.deadlineTooShort : NotRunReason.overloaded
    return { kind: 'refused', reason, retryAfterMs: Math.ceil(Math.max(minRetryAfterMs, Math.min(lateMs, slowWaitMs * waitFactor))) }
  }

  /** Keeps the bound: the largest offender gives up a request, which may be the one just added. */
  private _settleOverflow (added: QueueItem, now: number): OfferResult {
    if (this.size <= this._maxWaiting) return { kind: 'queued', shed: [] }
    const victim = findLargestOffender(this._tree, added)
    const { group } = victim.callerQueue
    const { waitMs } = predictFinish(this._tree, group, victim.callerQueue, this._usableSlots)
    const retryAfterMs = Math.ceil(Math.max(this._admission.minRetryAfterMs, waitMs))
    this._drop(victim)
    const shed: ShedRequest = { id: victim.request.id, reason: NotRunReason.overloaded, retryAfterMs }
    this._noteShed(victim.request, group, shed, now)
    if (victim === added) return { kind: 'refused', reason: shed.reason, retryAfterMs }
    return { kind: 'queued', shed: [shed] }
  }

  private _start (item: QueueItem): void {
    const chargedMs = Math.max(1, estimateMeanRun(item.callerQueue.group))
    this._tree.start(item.callerQueue, chargedMs)
    this._running.set(item.request.id, { callerQueue: item.callerQueue, chargedMs })
  }

  private _drop (item: QueueItem): void {
    this._items.delete(item.request.id)
    this._byDeadline.remove(item)
    this._tree.remove(item)
  }

  /** True when a request would not finish in time even with a typical run; one of a group with nothing running is tried all the same. */
  private _isHopeless (item: QueueItem, now: number): boolean {
    const leftMs = item.request.deadlineAt - now
    if (leftMs <= 0) return true
    const { group } = item.callerQueue
    return group.running > 0 && estimateTypicalRun(group) > leftMs
  }

  private _noteShed (request: QueuedRequest, group: RequestGroup, shed: Pick<ShedRequest, 'reason' | 'retryAfterMs'>, now: number): void {
    group.shed++
    const { className, organisation, caller } = request
    this._shedLog.note({ at: now, className, organisation, caller, reason: shed.reason, retryAfterMs: shed.retryAfterMs })
  }
}
