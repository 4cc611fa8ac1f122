/**
 * The tree of classes, organisations and callers: it counts requests and charges slot time, but makes no
 * scheduling decision. The number of classes and organisations is bounded by the declarations.
 */
import type { QueuedRequest } from '../requestQueue.js'
import { findCallerQueue } from './callerQueues.js'
import { createClassNode, createGroup, createOrganisationNode } from './queueNodes.js'
import type { CallerQueue, ClassNode, OrganisationNode, QueueItem, RequestGroup } from './queueNodes.js'
import type { ClassTargets, RequestPolicy } from './requestPolicy.js'
import { ShareLevel } from './shareLevel.js'

/** Name of the node that holds the requests of all undeclared classes or organisations. */
export const UNDECLARED = ''
const UNDECLARED_TARGETS: ClassTargets = { startWithinMs: undefined, finishWithinMs: 60_000 }
const RATE_DECAY_MS = 5_000

export class QueueTree {
  private readonly _classes = new Map<string, ClassNode>()
  private readonly _organisations = new Map<string, OrganisationNode>()
  /** Top level of the tree, at which the classes share the slots. */
  readonly level = new ShareLevel<ClassNode>()
  waiting = 0
  running = 0

  /** Classes by name; all undeclared classes share one node. */
  get classes (): ReadonlyMap<string, ClassNode> {
    return this._classes
  }

  /** Organisations by name; all undeclared organisations share one node. */
  get organisations (): ReadonlyMap<string, OrganisationNode> {
    return this._organisations
  }

  /** Applies targets and guarantees; waiting and running requests are kept. `share` is the fraction of each guarantee that this queue provides. */
  applyPolicy (policy: RequestPolicy, share: number): void {
    this._dropUnusedNodes(policy)
    for (const [name, targets] of [...policy.classes, [UNDECLARED, UNDECLARED_TARGETS] as const]) this._updateClass(name, targets)
    for (const [name, slots] of [...policy.guarantees, [UNDECLARED, 0] as const]) {
      const node = this._organisations.get(name) ?? createOrganisationNode(name)
      node.guaranteedSlots = slots * share
      this._organisations.set(name, node)
    }
  }

  /** Returns the group of the requests of a class and an organisation, and creates it when it doesn't exist. */
  findGroup (className: string, organisation: string): RequestGroup {
    const classNode = this._classes.get(className) ?? this._classes.get(UNDECLARED)
    const organisationNode = this._organisations.get(organisation) ?? this._organisations.get(UNDECLARED)
    if (classNode === undefined || organisationNode === undefined) throw new Error('invariant: a request arrived before a policy was set')
    const known = organisationNode.groups.get(classNode.name)
    if (known !== undefined) return known
    const created = createGroup(classNode, organisationNode)
    organisationNode.groups.set(classNode.name, created)
    return created
  }

  /** Updates the arrival rate of a class by a request that arrived, whether the request is admitted or not. */
  recordArrival (classNode: ClassNode, now: number): void {
    const decay = Math.exp(-Math.max(0, now - classNode.lastArrivalAt) / RATE_DECAY_MS)
    classNode.arrivalRate = classNode.arrivalRate * decay + 1 / RATE_DECAY_MS
    classNode.lastArrivalAt = now
  }

  /** Adds a waiting request. */
  add (request: QueuedRequest, group: RequestGroup): QueueItem {
    const callerQueue = findCallerQueue(group, request.caller)
    const dueAt = Math.min(request.deadlineAt, request.arrivedAt + group.classNode.targets.finishWithinMs)
    const item: QueueItem = { request, dueAt, callerQueue }
    callerQueue.items.add(item)
    this._countWaiting(group, 1)
    group.level.enter(callerQueue)
    group.classNode.level.enter(group)
    this.level.enter(group.classNode)
    return item
  }

  /** Removes a waiting request. */
  remove (item: QueueItem): void {
    const { callerQueue } = item
    const { group } = callerQueue
    if (!callerQueue.items.remove(item)) throw new Error('invariant: a waiting request is missing from the queue of its caller')
    this._countWaiting(group, -1)
    if (callerQueue.items.size === 0) group.level.leave(callerQueue)
    if (group.waiting === 0) group.classNode.level.leave(group)
    if (group.classNode.waiting === 0) this.level.leave(group.classNode)
  }

  /** Counts a request as running and charges the slot time it is expected to use. */
  start (callerQueue: CallerQueue, costMs: number): void {
    const { group } = callerQueue
    group.level.start(callerQueue, costMs)
    group.classNode.level.start(group, costMs)
    this.level.start(group.classNode, costMs)
    this._countRunning(callerQueue, 1)
  }

  /** Counts a running request as finished and corrects the slot time charged for it. */
  finish (callerQueue: CallerQueue, correctionMs: number): void {
    callerQueue.virtualMs += correctionMs
    callerQueue.group.virtualMs += correctionMs
    callerQueue.group.classNode.virtualMs += correctionMs
    this._countRunning(callerQueue, -1)
  }

  private _countWaiting (group: RequestGroup, change: number): void {
    group.waiting += change
    group.classNode.waiting += change
    group.organisationNode.waiting += change
    this.waiting += change
  }

  private _countRunning (callerQueue: CallerQueue, change: number): void {
    const { group } = callerQueue
    callerQueue.running += change
    group.running += change
    group.classNode.running += change
    group.organisationNode.running += change
    this.running += change
  }

  private _updateClass (name: string, targets: ClassTargets): void {
    const known = this._classes.get(name)
    if (known === undefined) this._classes.set(name, createClassNode(name, targets))
    else known.targets = targets
  }

  private _dropUnusedNodes (policy: RequestPolicy): void {
    for (const node of this._classes.values()) {
      if (policy.classes.has(node.name) || node.waiting + node.running > 0) continue
      this._classes.delete(node.name)
      for (const organisation of this._organisations.values()) organisation.groups.delete(node.name)
    }
    for (const node of this._organisations.values()) {
      if (!policy.guarantees.has(node.name) && node.waiting + node.running === 0) this._organisations.delete(node.name)
    }
  }
}
