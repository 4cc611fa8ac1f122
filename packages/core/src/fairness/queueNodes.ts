/**
 * Nodes of the tree of classes, organisations and callers, with the numbers of their waiting and running requests.
 */
import type { QueuedRequest } from '../requestQueue.js'
import { IndexedHeap } from './indexedHeap.js'
import type { ClassTargets } from './requestPolicy.js'
import { RunTimeHistogram } from './runTimeHistogram.js'
import { ShareLevel } from './shareLevel.js'
import type { ShareMember } from './shareLevel.js'

/** A waiting request and its caller queue, which is ordered by `dueAt`: the earlier of the request's deadline and finish target. */
export interface QueueItem {
  readonly request: QueuedRequest
  readonly dueAt: number
  readonly callerQueue: CallerQueue
}

/** Requests of one caller, or of several callers that share a queue, in one class of one organisation. */
export interface CallerQueue extends ShareMember {
  readonly key: string
  readonly group: RequestGroup
  readonly items: IndexedHeap<QueueItem>
  running: number
}

/** Requests of one class in one organisation. */
export interface RequestGroup extends ShareMember {
  readonly classNode: ClassNode
  readonly organisationNode: OrganisationNode
  readonly callers: Map<string, CallerQueue>
  readonly level: ShareLevel<CallerQueue>
  readonly runTimes: RunTimeHistogram
  waiting: number
  running: number
  shed: number
}

export interface ClassNode extends ShareMember {
  readonly name: string
  targets: ClassTargets
  readonly level: ShareLevel<RequestGroup>
  readonly runTimes: RunTimeHistogram
  waiting: number
  running: number
  /** Arrivals per millisecond, as an exponentially decaying average. */
  arrivalRate: number
  lastArrivalAt: number
}

export interface OrganisationNode {
  readonly name: string
  /** Slots of this queue that are guaranteed to the organisation; may be a fraction. */
  guaranteedSlots: number
  readonly groups: Map<string, RequestGroup>
  waiting: number
  running: number
}

/** Creates the node of a class, without requests. */
export function createClassNode (name: string, targets: ClassTargets, runTimes = new RunTimeHistogram()): ClassNode {
  return { name, targets, level: new ShareLevel(), runTimes, virtualMs: 0, waiting: 0, running: 0, arrivalRate: 0, lastArrivalAt: 0 }
}

/** Creates the node of an organisation, without requests. */
export function createOrganisationNode (name: string): OrganisationNode {
  return { name, guaranteedSlots: 0, groups: new Map(), waiting: 0, running: 0 }
}

/** Creates the group of a class and an organisation, without requests. */
export function createGroup (classNode: ClassNode, organisationNode: OrganisationNode, runTimes = new RunTimeHistogram()): RequestGroup {
  const counts = { virtualMs: 0, waiting: 0, running: 0, shed: 0 }
  return { classNode, organisationNode, callers: new Map(), level: new ShareLevel(), runTimes, ...counts }
}
