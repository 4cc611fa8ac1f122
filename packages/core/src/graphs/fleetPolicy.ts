/**
 * The operators' declarations for job graphs: queues with their routes, organisations with keys and guarantees, and limits.
 */
import type { QueuePolicy } from './graphTypes.js'

/** A queue with the hosts and paths whose requests are routed to it. */
export interface RoutedQueue extends QueuePolicy {
  readonly host: string
  /** Paths that begin with this prefix belong to the queue, unless a longer prefix of another queue matches. */
  readonly prefix: string
  /** True when requests to the queue need no API key. */
  readonly isOpen: boolean
}

/** An organisation with its API keys and its guarantee. */
export interface OrganisationPolicy {
  readonly name: string
  readonly keys: readonly string[]
  /** Number of accelerators that are always available to the organisation's jobs of priority 0. */
  readonly guaranteedAccelerators: number
}

/** Limits on the requests of clients. */
export interface CallLimits {
  readonly maxBodyBytes: number
  readonly maxHeaderBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One complete version of the declarations. */
export interface FleetPolicy {
  readonly version: number
  readonly queues: readonly RoutedQueue[]
  readonly organisations: readonly OrganisationPolicy[]
  readonly limits: CallLimits
}

/** Result of the check of a request's API key. */
export type KeyCheck =
  | { readonly kind: 'organisation', readonly name: string }
  | { readonly kind: 'open' }
  | { readonly kind: 'unknown' }

/** Looks up queues and organisations in one version of the declarations. */
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

  /** Finds the queue of a request by the longest matching prefix. */
  findQueue (host: string, path: string): RoutedQueue | undefined {
    return this._byHost.get(host)?.find(queue => path.startsWith(queue.prefix))
  }

  /** Checks whether the API key of a request permits access to a queue. */
  checkKey (queue: RoutedQueue, key: string | undefined): KeyCheck {
    const name = key === undefined ? undefined : this._byKey.get(key)
    if (name !== undefined) return { kind: 'organisation', name }
    return queue.isOpen ? { kind: 'open' } : { kind: 'unknown' }
  }
}
