/**
 * Nodes of the hierarchy class, organisation, caller, with counts of waiting and running requests.
 */
import type { QueuedRequest } from '../requestQueue.js'
import { IndexedHeap } from './indexedHeap.js'
import type { ClassTargets } from './requestPolicy.js'
import { RunTimeHistogram } from './runTimes.js'
import { ShareLevel } from './shareLevel.js'
import type { ShareMember } from './shareLevel.js'

/** A waiting request with its place. `dueAt` is what a caller's requests are ordered by. */
export interface QueueItem {
  readonly request: QueuedRequest
  readonly dueAt: number
  readonly callerQueue: CallerQueue
}

/** Requests of one caller, or of several that share a place, in one class of one organisation. */
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
  /** Arrivals a millisecond, fading. */
  arrivalRate: number
  arrivedAt: number
}

export interface OrganisationNode {
  readonly name: string
  /** Slots of this queue that the organisation is guaranteed; may be a fraction. */
  guaranteedSlots: number
  readonly groups: Map<string, RequestGroup>
  waiting: number
  running: number
}

/** Creates a class without requests. */
export function createClassNode (name: string, targets: ClassTargets, runTimes = new RunTimeHistogram()): ClassNode {
  return { name, targets, level: new ShareLevel(), runTimes, virtualMs: 0, waiting: 0, running: 0, arrivalRate: 0, arrivedAt: 0 }
}

/** Creates an organisation without requests. */
export function createOrganisationNode (name: string): OrganisationNode {
  return { name, guaranteedSlots: 0, groups: new Map(), waiting: 0, running: 0 }
}

/** Creates the group of a class and an organisation. */
export function createGroup (classNode: ClassNode, organisationNode: OrganisationNode, runTimes = new RunTimeHistogram()): RequestGroup {
  const counts = { virtualMs: 0, waiting: 0, running: 0, shed: 0 }
  return { classNode, organisationNode, callers: new Map(), level: new ShareLevel(), runTimes, ...counts }
}
