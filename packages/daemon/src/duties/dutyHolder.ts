/**
 * Holds one duty under a store lease. The epoch is the store revision at which the duty's key was created, so each
 * take-over has a higher one. The lease counts from before the call that granted or renewed it, less a margin, on this
 * process's monotonic clock; `epoch` is undefined as soon as that time is over, also right after a pause of the process.
 */
import { randomUUID } from 'node:crypto'

import { putSettled } from '@dragonflylever/adapters'
import type { Store, StoredValue } from '@dragonflylever/adapters'
import { measureAge, readClocks } from '@dragonflylever/runtime'
import type { ClockReading, Logger } from '@dragonflylever/runtime'

/** Time to live of a duty's lease in milliseconds. */
export const DUTY_TTL_MS = 5_000
const MARGIN_MS = 1_000
const RENEW_INTERVAL_MS = 1_500

/** How a duty's lease is kept, in milliseconds. */
export interface DutyTimes {
  readonly ttlMs: number
  readonly renewIntervalMs: number
}

/** Who holds a duty, as the store has it. */
export interface DutyRecord {
  readonly holder: string
  readonly address: string
  readonly nonce: string
}

/** A duty as this process last saw it in the store. */
export interface DutyView {
  readonly duty: string
  readonly holder: string
  readonly address: string
  readonly epoch: number
}

export interface DutyHolderOptions {
  readonly store: Store
  readonly prefix: string
  readonly duty: string
  readonly holder: string
  /** Returns this process's control address. */
  readonly getAddress: () => string
  readonly logger: Logger
  /** Called when the duty is lost; not after `release`. */
  readonly onLost: () => void
  /** Called with the moment at which a call was begun that proved the duty. */
  readonly onProof?: (begunAt: ClockReading) => void
  /** Five seconds, renewed each 1.5 s, when absent. */
  readonly times?: DutyTimes
  /**
   * True when every act of the holder is conditional on the duty's key. Then the duty lasts until the store says that it is
   * gone, so that an outage of the store ends nothing; `provenAgeMs` tells what may still be promised.
   */
  readonly isFencedByStore?: boolean
}

/** Outcome of an attempt to take a duty. */
export type TakeOutcome =
  | { readonly kind: 'held', readonly epoch: number }
  | { readonly kind: 'other', readonly view: DutyView }
  | { readonly kind: 'unavailable', readonly message: string }

/** Returns the store key of a duty. */
export function getDutyKey (prefix: string, duty: string): string {
  return `${prefix}/duties/${duty}`
}

/** Decodes a duty's key. */
export function decodeDuty (duty: string, stored: StoredValue): DutyView {
  const record = JSON.parse(stored.value) as DutyRecord
  return { duty, holder: record.holder, address: record.address, epoch: stored.createRevision }
}

export class DutyHolder {
  private readonly _options: DutyHolderOptions
  private readonly _key: string
  private _epoch: number | undefined
  private _leaseId: string | undefined
  private _validUntil = 0
  private _provenAt: ClockReading | undefined
  private _renewal: NodeJS.Timeout | undefined
  private _taking: Promise<TakeOutcome> | undefined
  private _isRenewing = false
  private _isClosed = false

  constructor (options: DutyHolderOptions) {
    this._options = options
    this._key = getDutyKey(options.prefix, options.duty)
  }

  /** Epoch under which this process may act at this moment; undefined when it may not. */
  get epoch (): number | undefined {
    const isOver = this._epoch !== undefined && this._options.isFencedByStore !== true && performance.now() >= this._validUntil
    if (isOver) this._lose('its lease ran out here')
    return this._epoch
  }

  /** Age of the last proof that this process holds the duty, in milliseconds; Infinity when it doesn't. */
  get provenAgeMs (): number {
    return this._epoch === undefined || this._provenAt === undefined ? Infinity : measureAge(this._provenAt, readClocks())
  }

  /** Notes that the store accepted a write, begun at this reading, that was conditional on the duty's key. */
  noteProof (begunAt: ClockReading): void {
    if (this._provenAt !== undefined && begunAt.monotonicMs <= this._provenAt.monotonicMs) return
    this._provenAt = begunAt
    this._options.onProof?.(begunAt)
  }

  /** Notes that the store said the duty's key has changed. */
  noteLoss (): void {
    if (this._epoch !== undefined) this._lose('the store has another holder')
  }

  /** Takes the duty when nobody holds it: one read when somebody does, three calls when nobody does. */
  take (): Promise<TakeOutcome> {
    this._taking ??= this._take().finally(() => { this._taking = undefined })
    return this._taking
  }

  /** Gives the duty up so that another can take it at once. */
  async release (): Promise<void> {
    this._isClosed = true
    await this._taking
    const leaseId = this._leaseId
    this._clear()
    if (leaseId !== undefined) await this._options.store.revokeLease(leaseId)
  }

  private async _take (): Promise<TakeOutcome> {
    const held = this.epoch
    if (held !== undefined) return { kind: 'held', epoch: held }
    const { store, duty } = this._options
    const found = await store.get(this._key)
    if (found.kind !== 'ok') return found
    if (found.value !== undefined && !await this._removeOwn(found.value)) return { kind: 'other', view: decodeDuty(duty, found.value) }
    const begunAt = readClocks()
    const lease = await store.grantLease(this._options.times?.ttlMs ?? DUTY_TTL_MS)
    if (lease.kind !== 'ok') return { kind: 'unavailable', message: lease.kind === 'expired' ? 'the lease ran out' : lease.message }
    return this._claim(lease.leaseId, begunAt, begunAt.monotonicMs + lease.ttlMs - MARGIN_MS)
  }

  /**
   * Removes the key that an earlier process under this name and address left behind; that process is gone, as this one listens at
   * its address. Only where every act is conditional on the key, so that nothing of the earlier process can take effect later.
   */
  private async _removeOwn (stored: StoredValue): Promise<boolean> {
    const { store, duty, holder, getAddress, isFencedByStore, logger } = this._options
    const view = decodeDuty(duty, stored)
    if (isFencedByStore !== true || view.holder !== holder || view.address !== getAddress()) return false
    const removed = await store.remove(this._key, { kind: 'revision', modRevision: stored.modRevision })
    logger.info({ duty, epoch: view.epoch, outcome: removed.kind }, 'duty of an earlier process here given up')
    return removed.kind === 'ok'
  }

  private async _claim (leaseId: string, begunAt: ClockReading, validUntil: number): Promise<TakeOutcome> {
    const { store, duty, holder, getAddress } = this._options
    const record: DutyRecord = { holder, address: getAddress(), nonce: randomUUID() }
    const value = JSON.stringify(record)
    const put = await putSettled(store, { key: this._key, value, expect: { kind: 'absent' }, leaseId, isAuthority: true }, stored => stored.value === value)
    if (put.kind === 'ok' && !this._isClosed && performance.now() < validUntil) {
      this._provenAt = begunAt
      this._hold(leaseId, put.modRevision, validUntil)
      return { kind: 'held', epoch: put.modRevision }
    }
    await store.revokeLease(leaseId)
    if (put.kind === 'conflict' && put.current !== undefined) return { kind: 'other', view: decodeDuty(duty, put.current) }
    return { kind: 'unavailable', message: 'the duty could not be taken' }
  }

  private _hold (leaseId: string, epoch: number, validUntil: number): void {
    this._leaseId = leaseId
    this._epoch = epoch
    this._validUntil = validUntil
    this._renewal = setInterval(() => { void this._renew() }, this._options.times?.renewIntervalMs ?? RENEW_INTERVAL_MS)
    this._options.logger.info({ duty: this._options.duty, epoch }, 'duty taken')
  }

  private async _renew (): Promise<void> {
    const leaseId = this._leaseId
    if (this.epoch === undefined || leaseId === undefined || this._isRenewing) return
    const begunAt = readClocks()
    this._isRenewing = true
    const outcome = await this._options.store.renewLease(leaseId)
    this._isRenewing = false
    if (this._leaseId !== leaseId || this.epoch === undefined) return
    if (outcome.kind === 'ok') {
      this._validUntil = Math.max(this._validUntil, begunAt.monotonicMs + outcome.ttlMs - MARGIN_MS)
      this.noteProof(begunAt)
    }
    if (outcome.kind === 'expired') this._lose('the store ended its lease')
  }

  private _lose (reason: string): void {
    const epoch = this._epoch
    this._clear()
    this._options.logger.warn({ duty: this._options.duty, epoch, reason }, 'duty lost')
    this._options.onLost()
  }

  private _clear (): void {
    clearInterval(this._renewal)
    this._epoch = undefined
    this._leaseId = undefined
  }
}
