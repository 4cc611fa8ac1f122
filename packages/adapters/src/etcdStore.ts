/**
 * {@link Store} over the JSON mapping of the etcd v3 API. After a call that got no answer, calls go to the next of the configured URLs.
 */
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'

import { EtcdPath, decodeBytes, encodeBytes, encodePrefixEnd } from './etcdMessages.js'
import type { EtcdKeyValue, EtcdLeaseResponse, EtcdRangeResponse, EtcdRequestOp, EtcdResponseOp, EtcdTxnRequest, EtcdTxnResponse } from './etcdMessages.js'
import { EtcdWatch } from './etcdWatch.js'
import { describeCallFailure } from './callFailure.js'
import { StoreHealth } from './store.js'
import type { Expectation, GetOutcome, LeaseOutcome, ListOutcome, PutManyOutcome, PutOutcome, PutRequest, PutResult, RemoveOutcome, Store, StoredValue, TransactOutcome, Transaction, Watch, WatchListener } from './store.js'

const CALL_TIMEOUT_MS = 1_000
const CONNECTIONS = 4
const MS_PER_S = 1_000

type CallOutcome<T> =
  | { readonly kind: 'ok', readonly value: T }
  | { readonly kind: 'notSent', readonly message: string }
  | { readonly kind: 'lost', readonly message: string }
  | { readonly kind: 'rejected', readonly status: number, readonly message: string }

/** URLs of the etcd members, and the timeout of one call in milliseconds. */
export interface EtcdStoreOptions {
  readonly urls: readonly string[]
  readonly callTimeoutMs?: number
}

export class EtcdStore implements Store {
  private readonly _pools: Pool[]
  private readonly _timeoutMs: number
  private _currentPool = 0
  private _health: StoreHealth = StoreHealth.up

  constructor (options: EtcdStoreOptions) {
    this._timeoutMs = options.callTimeoutMs ?? CALL_TIMEOUT_MS
    this._pools = options.urls.map(url => new Pool(url, { connections: CONNECTIONS, connect: { timeout: this._timeoutMs } }))
  }

  get health (): StoreHealth {
    return this._health
  }

  async get (key: string): Promise<GetOutcome> {
    const outcome = await this._callStore<EtcdRangeResponse>(EtcdPath.range, { key: encodeBytes(key) })
    if (outcome.kind !== 'ok') return { kind: 'unavailable', message: outcome.message }
    const first = outcome.value.kvs?.[0]
    return { kind: 'ok', value: first === undefined ? undefined : decodeKeyValue(first), storeRevision: Number(outcome.value.header.revision) }
  }

  async list (prefix: string): Promise<ListOutcome> {
    const outcome = await this._callStore<EtcdRangeResponse>(EtcdPath.range, { key: encodeBytes(prefix), range_end: encodePrefixEnd(prefix) })
    if (outcome.kind !== 'ok') return { kind: 'unavailable', message: outcome.message }
    return { kind: 'ok', values: (outcome.value.kvs ?? []).map(decodeKeyValue), storeRevision: Number(outcome.value.header.revision) }
  }

  async put (request: PutRequest): Promise<PutOutcome> {
    const outcome = await this._runTransaction(makePutTxn(request))
    return outcome.kind === 'ok' ? decodePutResult(outcome.value) : outcome
  }

  async putMany (requests: readonly PutRequest[]): Promise<PutManyOutcome> {
    const operations = requests.map(request => ({ request_txn: makePutTxn(request) }))
    const outcome = await this._runTransaction({ success: operations })
    if (outcome.kind !== 'ok') return outcome
    const results = (outcome.value.responses ?? []).map(decodeNestedPutResult)
    return { kind: 'ok', results }
  }

  async remove (key: string, expect: Expectation): Promise<RemoveOutcome> {
    const outcome = await this._runTransaction(makeConditionalTxn(key, expect, { request_delete_range: { key: encodeBytes(key) } }))
    if (outcome.kind !== 'ok') return outcome
    const result = decodePutResult(outcome.value)
    return result.kind === 'ok' ? { kind: 'ok' } : result
  }

  async transact (transaction: Transaction): Promise<TransactOutcome> {
    const outcome = await this._runTransaction(encodeTransaction(transaction))
    if (outcome.kind !== 'ok') return outcome
    if (outcome.value.succeeded === true) return { kind: 'ok', modRevision: Number(outcome.value.header.revision) }
    const found = (outcome.value.responses ?? []).flatMap(response => 'response_range' in response ? response.response_range.kvs ?? [] : [])
    return { kind: 'conflict', current: found.map(decodeKeyValue) }
  }

  async grantLease (ttlMs: number): Promise<LeaseOutcome> {
    return this._callLeaseApi(EtcdPath.grant, { TTL: String(Math.ceil(ttlMs / MS_PER_S)), ID: '0' })
  }

  async renewLease (leaseId: string): Promise<LeaseOutcome> {
    return this._callLeaseApi(EtcdPath.keepAlive, { ID: leaseId })
  }

  async revokeLease (leaseId: string): Promise<LeaseOutcome> {
    const outcome = await this._callStore<object>(EtcdPath.revoke, { ID: leaseId })
    if (outcome.kind === 'ok') return { kind: 'ok', leaseId, ttlMs: 0 }
    if (outcome.kind === 'rejected') return { kind: 'expired' }
    return convertCallFailure(outcome)
  }

  watch (prefix: string, fromRevision: number, listener: WatchListener): Watch {
    return new EtcdWatch(this._getPool(), prefix, fromRevision, listener)
  }

  async close (): Promise<void> {
    await Promise.all(this._pools.map(pool => pool.destroy()))
  }

  private async _callLeaseApi (path: string, body: object): Promise<LeaseOutcome> {
    const outcome = await this._callStore<EtcdLeaseResponse | { result: EtcdLeaseResponse }>(path, body)
    if (outcome.kind === 'rejected') return { kind: 'expired' }
    if (outcome.kind !== 'ok') return convertCallFailure(outcome)
    const lease = 'result' in outcome.value ? outcome.value.result : outcome.value
    const ttlMs = Number(lease.TTL ?? 0) * MS_PER_S
    return ttlMs > 0 ? { kind: 'ok', leaseId: lease.ID, ttlMs } : { kind: 'expired' }
  }

  private async _runTransaction (txn: EtcdTxnRequest): Promise<{ kind: 'ok', value: EtcdTxnResponse } | { kind: 'unavailable', message: string } | { kind: 'ambiguous', message: string }> {
    const outcome = await this._callStore<EtcdTxnResponse>(EtcdPath.txn, txn)
    return outcome.kind === 'ok' ? outcome : convertCallFailure(outcome)
  }

  private _getPool (): Pool {
    const pool = this._pools[this._currentPool]
    if (pool === undefined) throw new Error('invariant: the list of store URLs is empty')
    return pool
  }

  private async _callStore<T> (path: string, body: object): Promise<CallOutcome<T>> {
    const outcome = await this._sendRequest<T>(this._getPool(), path, body)
    this._health = outcome.kind === 'ok' || outcome.kind === 'rejected' ? StoreHealth.up : StoreHealth.down
    if (this._health === StoreHealth.down) this._currentPool = (this._currentPool + 1) % this._pools.length
    return outcome
  }

  private async _sendRequest<T> (pool: Dispatcher, path: string, body: object): Promise<CallOutcome<T>> {
    try {
      const response = await pool.request({
        method: 'POST',
        path,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(this._timeoutMs)
      })
      const text = await response.body.text()
      if (response.statusCode === 200) return { kind: 'ok', value: JSON.parse(text) as T }
      if (response.statusCode >= 500) return { kind: 'lost', message: `store answered ${response.statusCode}` }
      return { kind: 'rejected', status: response.statusCode, message: text.slice(0, 200) }
    } catch (error) {
      return describeCallError(error)
    }
  }
}

function describeCallError (error: unknown): { kind: 'notSent' | 'lost', message: string } {
  const { isNotSent, message } = describeCallFailure(error)
  return { kind: isNotSent ? 'notSent' : 'lost', message: `store call failed: ${message}` }
}

function convertCallFailure (outcome: { kind: 'notSent' | 'lost' | 'rejected', message: string }): { kind: 'unavailable' | 'ambiguous', message: string } {
  return { kind: outcome.kind === 'lost' ? 'ambiguous' : 'unavailable', message: outcome.message }
}

function makePutTxn (request: PutRequest): EtcdTxnRequest {
  const lease = request.leaseId === undefined ? {} : { lease: request.leaseId }
  return makeConditionalTxn(request.key, request.expect, { request_put: { key: encodeBytes(request.key), value: encodeBytes(request.value), ...lease } })
}

function makeConditionalTxn (key: string, expect: Expectation, operation: EtcdRequestOp): EtcdTxnRequest {
  if (expect.kind === 'any') return { success: [operation] }
  const modRevision = expect.kind === 'absent' ? 0 : expect.modRevision
  return {
    compare: [{ target: 'MOD', result: 'EQUAL', key: encodeBytes(key), mod_revision: String(modRevision) }],
    success: [operation],
    failure: [{ request_range: { key: encodeBytes(key) } }]
  }
}

function encodeTransaction (transaction: Transaction): EtcdTxnRequest {
  const puts = transaction.puts.map(({ key, value, leaseId }) => {
    const lease = leaseId === undefined ? {} : { lease: leaseId }
    return { request_put: { key: encodeBytes(key), value: encodeBytes(value), ...lease } }
  })
  return {
    compare: transaction.expect.map(({ key, modRevision }) => ({ target: 'MOD', result: 'EQUAL', key: encodeBytes(key), mod_revision: String(modRevision) } as const)),
    success: [...puts, ...transaction.removes.map(key => ({ request_delete_range: { key: encodeBytes(key) } }))],
    failure: transaction.expect.map(({ key }) => ({ request_range: { key: encodeBytes(key) } }))
  }
}

function decodePutResult (response: EtcdTxnResponse): PutResult {
  if (response.succeeded === true) return { kind: 'ok', modRevision: Number(response.header.revision) }
  const range = response.responses?.[0]
  const current = range !== undefined && 'response_range' in range ? range.response_range.kvs?.[0] : undefined
  return { kind: 'conflict', current: current === undefined ? undefined : decodeKeyValue(current) }
}

function decodeNestedPutResult (response: EtcdResponseOp): PutResult {
  if (!('response_txn' in response)) throw new Error('invariant: etcd answered a nested transaction with another kind of response')
  return decodePutResult(response.response_txn)
}

/** Decodes a key-value pair from the JSON form of the API. */
export function decodeKeyValue (pair: EtcdKeyValue): StoredValue {
  return {
    key: decodeBytes(pair.key),
    value: decodeBytes(pair.value ?? ''),
    modRevision: Number(pair.mod_revision),
    createRevision: Number(pair.create_revision)
  }
}
