/**
 * Leader election for one role by a lease in the store. The epoch is the store revision at which the leader's key was created,
 * so it grows with each new leader. On this process's monotonic clock, the lease counts as valid from the start of the call that granted or
 * renewed it, for its time to live less a margin. After that, unless `isFencedByStore` is set,
 * `epoch` is undefined, even if the process was paused and no timer has run yet.
 */
import { randomUUID } from 'node:crypto'

import { putWithRetry } from '@dragonflylever/adapters'
import type { Store, StoredValue } from '@dragonflylever/adapters'
import { parseJson } from '@dragonflylever/protocol'
import { measureAge, readClocks } from '@dragonflylever/runtime'
import type { ClockReading, Logger } from '@dragonflylever/runtime'
import * as z from 'zod'

/** Default time to live of a leader's lease, in milliseconds. */
export const LEADER_LEASE_TTL_MS = 5_000
const LEASE_MARGIN_MS = 1_000
const RENEW_INTERVAL_MS = 1_500

/** Time to live and renewal interval of a leader's lease, in milliseconds. */
export interface LeaderLeaseTimes {
  readonly ttlMs: number
  readonly renewIntervalMs: number
}

/** Value of a leader's key in the store. The nonce distinguishes the records that one process wrote in several attempts to become leader. */
const leaderRecordSchema = z.object({ holder: z.string(), address: z.string(), nonce: z.string() })
export type LeaderRecord = z.infer<typeof leaderRecordSchema>

/** The leader of a role, as last seen by this process. */
export interface LeaderView {
  readonly duty: string
  readonly holder: string
  readonly address: string
  readonly epoch: number
}

export interface LeaderElectorOptions {
  readonly store: Store
  readonly prefix: string
  readonly duty: string
  readonly holder: string
  /** Returns the control address of this process. */
  readonly getAddress: () => string
  readonly logger: Logger
  /** Called when leadership is lost; not called after `release`. */
  readonly onLost: () => void
  /** Called after each store call that confirmed leadership, with the time at which the call was started. */
  readonly onLeadershipConfirmed?: (callStartedAt: ClockReading) => void
  /** Times of the leader's lease; by default the time to live is five seconds and the renewal interval 1.5 s. */
  readonly times?: LeaderLeaseTimes
  /**
   * True if every write of the leader is conditional on the leader's key. Leadership then lasts until the store reports that it
   * has ended, so it survives an outage of the store. During an outage, the leader decides by `leadershipConfirmedAgeMs` whether it may still
   * extend leases of runs.
   */
  readonly isFencedByStore?: boolean
}

/** Outcome of an attempt to become leader. `held`: this process is the leader. `other`: another process is. `unavailable`: the attempt failed. */
export type AcquireOutcome =
  | { readonly kind: 'held', readonly epoch: number }
  | { readonly kind: 'other', readonly view: LeaderView }
  | { readonly kind: 'unavailable', readonly message: string }

/** Returns the store key that holds the record of a role's leader. */
export function getLeaderKey (prefix: string, duty: string): string {
  return `${prefix}/duties/${duty}`
}

/** Decodes the record stored at a leader's key; returns undefined if it is not the record of a leader. */
export function decodeLeaderRecord (duty: string, stored: StoredValue): LeaderView | undefined {
  const checked = leaderRecordSchema.safeParse(parseJson(stored.value))
  if (!checked.success) return undefined
  const { holder, address } = checked.data
  return { duty, holder, address, epoch: stored.createRevision }
}

export class LeaderElector {
  private readonly _options: LeaderElectorOptions
  private readonly _key: string
  private _epoch: number | undefined
  private _leaseId: string | undefined
  private _validUntil = 0
  private _leadershipConfirmedAt: ClockReading | undefined
  private _renewalTimer: NodeJS.Timeout | undefined
  private _acquiring: Promise<AcquireOutcome> | undefined
  private _isRenewing = false
  private _isClosed = false

  constructor (options: LeaderElectorOptions) {
    this._options = options
    this._key = getLeaderKey(options.prefix, options.duty)
  }

  /**
   * Epoch under which this process may act as leader at this moment; undefined if it is not the leader. Each read
   * checks whether the lease has expired.
   */
  get epoch (): number | undefined {
    const isOver = this._epoch !== undefined && this._options.isFencedByStore !== true && performance.now() >= this._validUntil
    if (isOver) this._endLeadership('its lease expired by the local clock')
    return this._epoch
  }

  /** Age of the last confirmation that this process is the leader, in milliseconds; Infinity if it is not the leader. */
  get leadershipConfirmedAgeMs (): number {
    return this._epoch === undefined || this._leadershipConfirmedAt === undefined ? Infinity : measureAge(this._leadershipConfirmedAt, readClocks())
  }

  /** Records the start time of a successful store call that confirms leadership, such as a write conditional on the leader's key. */
  recordLeadershipConfirmed (callStartedAt: ClockReading): void {
    if (this._leadershipConfirmedAt !== undefined && callStartedAt.monotonicMs <= this._leadershipConfirmedAt.monotonicMs) return
    this._leadershipConfirmedAt = callStartedAt
    this._options.onLeadershipConfirmed?.(callStartedAt)
  }

  /** Ends leadership, for a reason that this process found out otherwise than by its lease. */
  recordLeadershipLost (reason: string): void {
    if (this._epoch !== undefined) this._endLeadership(reason)
  }

  /** Attempts to become leader. Makes one store call if there already is a leader, three if there is none. */
  tryAcquire (): Promise<AcquireOutcome> {
    this._acquiring ??= this._tryAcquire().finally(() => { this._acquiring = undefined })
    return this._acquiring
  }

  /** Releases leadership, so that another process can become leader immediately. */
  async release (): Promise<void> {
    this._isClosed = true
    await this._acquiring
    const leaseId = this._leaseId
    this._clearLeadership()
    if (leaseId !== undefined) await this._options.store.revokeLease(leaseId)
  }

  private async _tryAcquire (): Promise<AcquireOutcome> {
    const held = this.epoch
    if (held !== undefined) return { kind: 'held', epoch: held }
    const { store } = this._options
    const found = await store.get(this._key)
    if (found.kind !== 'ok') return found
    if (found.value !== undefined && !await this._removeStaleRecord(found.value)) return this._describeLeader(found.value)
    const callStartedAt = readClocks()
    const lease = await store.grantLease(this._options.times?.ttlMs ?? LEADER_LEASE_TTL_MS)
    if (lease.kind !== 'ok') return { kind: 'unavailable', message: lease.kind === 'expired' ? 'the lease expired' : lease.message }
    return this._writeRecord(lease.leaseId, callStartedAt, callStartedAt.monotonicMs + lease.ttlMs - LEASE_MARGIN_MS)
  }

  /**
   * Removes a leader key left by an earlier process with this name and address; that process has ended, since this one listens
   * at its address. The key is removed only if every write is conditional on the key, so that no delayed write of the earlier process can succeed.
   */
  private async _removeStaleRecord (stored: StoredValue): Promise<boolean> {
    const { store, duty, holder, getAddress, isFencedByStore, logger } = this._options
    const view = decodeLeaderRecord(duty, stored)
    if (view === undefined || isFencedByStore !== true || view.holder !== holder || view.address !== getAddress()) return false
    const removed = await store.remove(this._key, { kind: 'revision', modRevision: stored.modRevision })
    logger.info({ duty, epoch: view.epoch, outcome: removed.kind }, 'tried to remove the leader key of an earlier process at this address')
    return removed.kind === 'ok'
  }

  private async _writeRecord (leaseId: string, callStartedAt: ClockReading, validUntil: number): Promise<AcquireOutcome> {
    const { store, holder, getAddress } = this._options
    const record: LeaderRecord = { holder, address: getAddress(), nonce: randomUUID() }
    const value = JSON.stringify(record)
    const put = await putWithRetry(store, { key: this._key, value, expect: { kind: 'absent' }, leaseId, isLeadershipWrite: true }, stored => stored.value === value)
    if (put.kind === 'ok' && !this._isClosed && performance.now() < validUntil) {
      this._leadershipConfirmedAt = callStartedAt
      this._beginLeadership(leaseId, put.modRevision, validUntil)
      return { kind: 'held', epoch: put.modRevision }
    }
    await store.revokeLease(leaseId)
    if (put.kind === 'conflict' && put.current !== undefined) return this._describeLeader(put.current)
    return { kind: 'unavailable', message: 'the leader key could not be written in time' }
  }

  private _describeLeader (stored: StoredValue): AcquireOutcome {
    const { duty } = this._options
    const view = decodeLeaderRecord(duty, stored)
    return view === undefined ? { kind: 'unavailable', message: `the leader key of ${duty} holds an unreadable record of revision ${stored.modRevision}` } : { kind: 'other', view }
  }

  private _beginLeadership (leaseId: string, epoch: number, validUntil: number): void {
    this._leaseId = leaseId
    this._epoch = epoch
    this._validUntil = validUntil
    this._renewalTimer = setInterval(() => { void this._renewLease() }, this._options.times?.renewIntervalMs ?? RENEW_INTERVAL_MS)
    this._options.logger.info({ duty: this._options.duty, epoch }, 'leadership acquired')
  }

  private async _renewLease (): Promise<void> {
    const leaseId = this._leaseId
    if (this.epoch === undefined || leaseId === undefined || this._isRenewing) return
    const callStartedAt = readClocks()
    this._isRenewing = true
    const outcome = await this._options.store.renewLease(leaseId)
    this._isRenewing = false
    if (this._leaseId !== leaseId || this.epoch === undefined) return
    if (outcome.kind === 'ok') {
      this._validUntil = Math.max(this._validUntil, callStartedAt.monotonicMs + outcome.ttlMs - LEASE_MARGIN_MS)
      this.recordLeadershipConfirmed(callStartedAt)
    }
    if (outcome.kind === 'expired') this._endLeadership('the store expired the lease')
  }

  private _endLeadership (reason: string): void {
    const epoch = this._epoch
    this._clearLeadership()
    this._options.logger.warn({ duty: this._options.duty, epoch, reason }, 'leadership lost')
    this._options.onLost()
  }

  private _clearLeadership (): void {
    clearInterval(this._renewalTimer)
    this._epoch = undefined
    this._leaseId = undefined
  }
}
