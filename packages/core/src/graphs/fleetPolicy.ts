/**
 * What operators declare for job graphs: queues with their routes, organisations with keys and guarantees, limits.
 */
import type { QueuePolicy } from './graphTypes.js'

/** A queue with the requests that it takes. */
export interface RoutedQueue extends QueuePolicy {
  readonly host: string
  /** Paths that begin with it belong to the queue, unless a longer prefix of another queue fits. */
  readonly prefix: string
  /** True when calls need no key. */
  readonly isOpen: boolean
}

/** An organisation with what authenticates it and what is guaranteed to it. */
export interface OrganisationPolicy {
  readonly name: string
  readonly keys: readonly string[]
  /** Accelerators for its jobs of priority 0, at all times. */
  readonly guaranteedAccelerators: number
}

/** Bounds of consumers' calls. */
export interface CallLimits {
  readonly maxBodyBytes: number
  readonly maxHeaderBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One version of the declarations, in full. */
export interface FleetPolicy {
  readonly version: number
  readonly queues: readonly RoutedQueue[]
  readonly organisations: readonly OrganisationPolicy[]
  readonly limits: CallLimits
}

/** How a call's key was judged. */
export type KeyCheck =
  | { readonly kind: 'organisation', readonly name: string }
  | { readonly kind: 'open' }
  | { readonly kind: 'unknown' }

/** Finds queues and organisations of one version. */
export class PolicyIndex {
  readonly policy: FleetPolicy
  private readonly _byHost = new Map<string, RoutedQueue[]>()
  private readonly _byKey = new Map<string, string>()

  constructor (policy: FleetPolicy) {
    this.policy = policy
    for (const queue of policy.queues) this._byHost.set(queue.host, [...this._byHost.get(queue.host) ?? [], queue])
    for (const queues of this._byHost.values()) queues.sort((a, b) => b.prefix.length - a.prefix.length)
    for (const organisation of policy.organisations) for (const key of organisation.keys) this._byKey.set(key, organisation.name)
  }

  /** Finds the queue of a request: the longest prefix wins. */
  findQueue (host: string, path: string): RoutedQueue | undefined {
    return this._byHost.get(host)?.find(queue => path.startsWith(queue.prefix))
  }

  /** Judges the key of a call to a queue. */
  checkKey (queue: RoutedQueue, key: string | undefined): KeyCheck {
    const name = key === undefined ? undefined : this._byKey.get(key)
    if (name !== undefined) return { kind: 'organisation', name }
    return queue.isOpen ? { kind: 'open' } : { kind: 'unknown' }
  }
}
