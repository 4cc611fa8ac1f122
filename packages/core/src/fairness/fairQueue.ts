/**
 * Queue that upholds guarantees and targets under overload: it admits requests by their predicted finish, shares slots
 * fairly between classes, organisations and callers, serves guaranteed slots first, and reserves slots for urgent classes.
 */
import { NotRunReason } from '../outcome.js'
import type { OfferResult, QueuedRequest, RequestQueue, ShedRequest } from '../requestQueue.js'
import { getCallerQueue } from './callerQueues.js'
import { selectShedVictim } from './shedVictim.js'
import { estimateMeanRunTime, estimateMedianRunTime, predictFinish } from './finishPrediction.js'
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
import type { SlotReserveOptions } from './slotReserve.js'

/** Parameters of the admission control, which refuses requests that are predicted to start or finish too late. */
export interface AdmissionOptions {
  /** Safety factor that the predicted wait is multiplied by. */
  readonly waitFactor: number
  /** Minimum retry-after that is sent with a refusal, in milliseconds. */
  readonly minRetryAfterMs: number
}

export const DEFAULT_ADMISSION: AdmissionOptions = { waitFactor: 1.25, minRetryAfterMs: 50 }

/** Limits and parameters of a fair queue. */
export interface FairQueueOptions extends QueueCapacity {
  readonly maxWaiting: number
  readonly policy?: RequestPolicy
  readonly reserve?: SlotReserveOptions
  readonly admission?: AdmissionOptions
}

const USABLE_SLOTS_WEIGHT = 0.05
const REAPPLY_TOLERANCE = 0.05

interface RunningRequest {
  readonly callerQueue: CallerQueue
  readonly chargedMs: number
}

type RefusedOffer = Extract<OfferResult, { kind: 'refused' }>

export class FairQueue implements RequestQueue {
  private readonly _tree = new QueueTree()
  private readonly _items = new Map<string, QueueItem>()
  private readonly _running = new Map<string, RunningRequest>()
  private readonly _byDeadline = new IndexedHeap<QueueItem>(item => item.request.deadlineAt)
  private readonly _unfinishable = new Map<string, QueuedRequest>()
  private readonly _shedLog = new ShedLog()
  private readonly _maxWaiting: number
  private readonly _reserve: SlotReserveOptions
  private readonly _admission: AdmissionOptions
  private _policy: RequestPolicy
  private _usableSlots: number
  /** Number of usable slots for which the guarantees were last computed. */
  private _appliedSlots = 0
  private _capacity: QueueCapacity

  constructor (options: FairQueueOptions) {
    this._maxWaiting = options.maxWaiting
    this._reserve = options.reserve ?? DEFAULT_RESERVE
    this._admission = options.admission ?? DEFAULT_ADMISSION
    this._policy = options.policy ?? EMPTY_POLICY
    this._capacity = { slots: options.slots, fleetSlots: options.fleetSlots }
    this._usableSlots = options.slots
    this._applyPolicy()
  }

  get size (): number {
    return this._items.size + this._unfinishable.size
  }

  /** Applies changed targets and guarantees; waiting and running requests are kept. */
  setPolicy (policy: RequestPolicy): void {
    this._policy = policy
    this._applyPolicy()
  }

  /** Applies a changed number of slots of this queue or of the fleet. */
  setCapacity (capacity: QueueCapacity): void {
    if (capacity.slots === this._capacity.slots && capacity.fleetSlots === this._capacity.fleetSlots) return
    this._usableSlots += capacity.slots - this._capacity.slots
    this._capacity = capacity
    this._applyPolicy()
  }

  offer (request: QueuedRequest, now: number): OfferResult {
    const group = this._tree.findGroup(request.className, request.organisation)
    this._tree.recordArrival(group.classNode, now)
    const refused = this._checkAdmission(request, group, now)
    if (refused !== undefined) {
      this._recordShed(request, group, refused, now)
      return refused
    }
    const item = this._tree.add(request, group)
    this._items.set(request.id, item)
    this._byDeadline.add(item)
    return this._shedOverflow(item, now)
  }

  take (now: number): QueuedRequest | undefined {
    while (this._tree.running < this._capacity.slots) {
      const group = selectGroup(this._tree, this._capacity, this._usableSlots, this._reserve)
      const item = group?.level.select()?.items.first
      if (group === undefined || item === undefined) return undefined
      this._removeItem(item)
      if (this._isUnfinishable(item, now)) {
        this._unfinishable.set(item.request.id, item.request)
        group.shed++
        continue
      }
      this._startRequest(item)
      return item.request
    }
    return undefined
  }

  remove (id: string): boolean {
    if (this._unfinishable.delete(id)) return true
    const item = this._items.get(id)
    if (item === undefined) return false
    this._removeItem(item)
    return true
  }

  expire (now: number): QueuedRequest[] {
    const expired = [...this._unfinishable.values()]
    this._unfinishable.clear()
    for (;;) {
      const item = this._byDeadline.first
      if (item === undefined || item.request.deadlineAt > now) return expired
      this._removeItem(item)
      item.callerQueue.group.shed++
      expired.push(item.request)
    }
  }

  /** Records that a request taken from the queue has released its slot. A `ranMs` of 0 means that the request did not run. */
  finish (request: QueuedRequest, ranMs: number): void {
    const running = this._running.get(request.id)
    if (running === undefined) throw new Error('invariant: a finished request is not registered as running')
    this._running.delete(request.id)
    this._updateUsableSlots()
    this._tree.finish(running.callerQueue, ranMs - running.chargedMs)
    if (ranMs <= 0) return
    running.callerQueue.group.runTimes.record(ranMs)
    running.callerQueue.group.classNode.runTimes.record(ranMs)
  }

  /** Returns a report on waiting, running and shed requests for operators. */
  describe (): QueueReport {
    return describeTree(this._tree, this._capacity, this._usableSlots, this._reserve, this._shedLog.list())
  }

  /**
   * Updates the moving average of the slots available to this queue. While requests wait, these are only the slots of running requests, since
   * other entries may use the rest.
   */
  private _updateUsableSlots (): void {
    const seen = this._tree.waiting > 0 ? this._tree.running : this._capacity.slots
    const next = this._usableSlots + USABLE_SLOTS_WEIGHT * (seen - this._usableSlots)
    this._usableSlots = Math.max(1, Math.min(this._capacity.slots, next))
    if (Math.abs(this._usableSlots - this._appliedSlots) > this._appliedSlots * REAPPLY_TOLERANCE) this._applyPolicy()
  }

  private _applyPolicy (): void {
    let guaranteed = 0
    for (const slots of this._policy.guarantees.values()) guaranteed += slots
    this._appliedSlots = this._usableSlots
    const { fleetSlots } = this._capacity
    this._tree.applyPolicy(this._policy, this._usableSlots / Math.max(1, this._usableSlots, fleetSlots, guaranteed))
  }

  /**
   * Refuses a request predicted to miss its start target or deadline. A group without waiting or running requests always admits one, so that
   * its run times stay current.
   */
  private _checkAdmission (request: QueuedRequest, group: RequestGroup, now: number): RefusedOffer | undefined {
    const leftMs = request.deadlineAt - now
    if (leftMs <= 0) return { kind: 'refused', reason: NotRunReason.deadlinePassed, retryAfterMs: 0 }
    if (group.waiting + group.running === 0) return undefined
    const callerQueue = getCallerQueue(group, request.caller)
    const { waitMs, worstCaseWaitMs, runMs } = predictFinish(this._tree, group, callerQueue, this._usableSlots)
    if (waitMs === 0) return undefined
    const { waitFactor, minRetryAfterMs } = this._admission
    const startWithinMs = (group.classNode.targets.startWithinMs ?? Infinity) - (now - request.arrivedAt)
    const overrunMs = Math.max(waitMs * waitFactor - startWithinMs, worstCaseWaitMs * waitFactor + runMs - leftMs)
    if (overrunMs <= 0) return undefined
    const reason = runMs > leftMs ? NotRunReason.deadlineTooShort : NotRunReason.overloaded
    return { kind: 'refused', reason, retryAfterMs: Math.ceil(Math.max(minRetryAfterMs, Math.min(overrunMs, worstCaseWaitMs * waitFactor))) }
  }

  /** Sheds a request, which may be the added one, when the queue exceeds its limit. */
  private _shedOverflow (added: QueueItem, now: number): OfferResult {
    if (this.size <= this._maxWaiting) return { kind: 'queued', shed: [] }
    const victim = selectShedVictim(this._tree, added)
    const { group } = victim.callerQueue
    const { waitMs } = predictFinish(this._tree, group, victim.callerQueue, this._usableSlots)
    const retryAfterMs = Math.ceil(Math.max(this._admission.minRetryAfterMs, waitMs))
    this._removeItem(victim)
    const shed: ShedRequest = { id: victim.request.id, reason: NotRunReason.overloaded, retryAfterMs }
    this._recordShed(victim.request, group, shed, now)
    if (victim === added) return { kind: 'refused', reason: shed.reason, retryAfterMs }
    return { kind: 'queued', shed: [shed] }
  }

  private _startRequest (item: QueueItem): void {
    const chargedMs = Math.max(1, estimateMeanRunTime(item.callerQueue.group))
    this._tree.start(item.callerQueue, chargedMs)
    this._running.set(item.request.id, { callerQueue: item.callerQueue, chargedMs })
  }

  private _removeItem (item: QueueItem): void {
    this._items.delete(item.request.id)
    this._byDeadline.remove(item)
    this._tree.remove(item)
  }

  /**
   * True when a request would miss its deadline even if it started now and ran for the median run time of its group. While
   * no request of the group is running, true only when the deadline has passed.
   */
  private _isUnfinishable (item: QueueItem, now: number): boolean {
    const leftMs = item.request.deadlineAt - now
    if (leftMs <= 0) return true
    const { group } = item.callerQueue
    return group.running > 0 && estimateMedianRunTime(group) > leftMs
  }

  private _recordShed (request: QueuedRequest, group: RequestGroup, shed: Pick<ShedRequest, 'reason' | 'retryAfterMs'>, now: number): void {
    group.shed++
    const { className, organisation, caller } = request
    this._shedLog.record({ at: now, className, organisation, caller, reason: shed.reason, retryAfterMs: shed.retryAfterMs })
  }
}
