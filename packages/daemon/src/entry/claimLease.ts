/**
 * The store lease under which an entry writes claims on idempotency keys. A new lease is granted each hour and none is renewed,
 * so that claims expire without a clean-up and the store's size stays bounded.
 */
import type { Store } from '@dragonflylever/adapters'

const MS_PER_HOUR = 3_600_000
/** Time to live of a lease, in milliseconds; long enough that each claim is kept for at least a day. */
export const CLAIM_LEASE_TTL_MS = 25 * MS_PER_HOUR
/** How long a lease is used for new claims, in milliseconds. */
export const CLAIM_LEASE_USE_MS = MS_PER_HOUR

interface GrantedLease {
  readonly leaseId: string
  readonly usableUntil: number
}

export class ClaimLease {
  private readonly _store: Store
  private _granted: GrantedLease | undefined

  constructor (store: Store) {
    this._store = store
  }

  /** Returns the id of a lease for new claims, requesting one from the store when needed; undefined when the store grants none. */
  async getLeaseId (): Promise<string | undefined> {
    const now = performance.now()
    if (this._granted !== undefined && now < this._granted.usableUntil) return this._granted.leaseId
    this._granted = undefined
    const outcome = await this._store.grantLease(CLAIM_LEASE_TTL_MS)
    if (outcome.kind !== 'ok') return undefined
    this._granted = { leaseId: outcome.leaseId, usableUntil: now + CLAIM_LEASE_USE_MS }
    return outcome.leaseId
  }

  /**
   * Stops using the current lease, for instance because the store may no longer have it.
   * The lease is not revoked, since that would delete its claims.
   */
  dropCurrentLease (): void {
    this._granted = undefined
  }
}
