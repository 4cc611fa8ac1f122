/**
 * Stand-in for the platform's metadata store: keys, conditional transactions, leases and watches, as the users' protocol page describes them.
 */
import { openJsonServer } from './http.js'

const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000
const MAX_ENTRIES = 32
const MAX_KEY_BYTES = 200
const MIN_TTL_MS = 1_000
const MAX_TTL_MS = 600_000
const MAX_WAIT_MS = 30_000
const LEASE_CHECK_MS = 20

export class StoreStandIn {
  constructor ({ address, valueBytes = 1_048_576 }) {
    this.address = address
    this._valueBytes = valueBytes
    this._items = new Map()
    this._leases = new Map()
    this._history = []
    this._waiting = new Set()
    this._revision = 1
    this._nextLease = 1
    /** Called with each call before it is served; returns `{ status }` to reject it, `{ lateMs }` to carry it out late and not answer it, or undefined to serve it. */
    this.disrupt = () => undefined
  }

  async open () {
    this._server = await openJsonServer(this.address, call => this._serve(call))
    this._timer = setInterval(() => this._expireLeases(), LEASE_CHECK_MS)
  }

  close () {
    clearInterval(this._timer)
    this._server.close()
  }

  /** Writes a key as the operator does. */
  write (key, value) {
    this._change([{ key, value: Buffer.from(value) }], [])
  }

  /** Returns the text of a value, or undefined. */
  read (key) {
    return this._items.get(key)?.value.toString('utf8')
  }

  async _serve (call) {
    const disruption = this.disrupt(call)
    if (disruption?.lateMs !== undefined) {
      setTimeout(() => disruption.onLate(this._serveTransaction(call.body).status), disruption.lateMs)
      return undefined
    }
    if (disruption?.status !== undefined) return { status: disruption.status, body: {} }
    const { method, path, query, body } = call
    if (method === 'GET' && path === '/-/kv-key') return this._serveKey(query)
    if (method === 'GET' && path === '/-/kv-range') return this._serveRange(query)
    if (method === 'GET' && path === '/-/kv-watch') return this._serveWatch(query)
    if (method === 'POST' && path === '/-/kv-txn') return this._serveTransaction(body)
    if (method === 'POST' && path === '/-/kv-lease') return this._serveLease(body)
    if (method === 'POST' && path.startsWith('/-/kv-keep/')) return this._serveKeep(Number(path.slice('/-/kv-keep/'.length)))
    if (method === 'DELETE' && path.startsWith('/-/kv-lease-end/')) return this._serveLeaseEnd(Number(path.slice('/-/kv-lease-end/'.length)))
    return { status: 404, body: {} }
  }

  _serveKey (query) {
    const item = this._items.get(query.get('key'))
    if (item === undefined) return { status: 404, body: {} }
    return { status: 200, body: { ...encodeItem(item), 'as-of': this._revision } }
  }

  _serveRange (query) {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after')
    const keys = [...this._items.keys()].filter(key => key.startsWith(prefix) && (after === null || key > after)).sort()
    const items = []
    let bytes = 0
    for (const key of keys) {
      const item = this._items.get(key)
      if (items.length >= PAGE_ITEMS || (items.length > 0 && bytes + item.value.length > PAGE_BYTES)) break
      bytes += item.value.length
      items.push(encodeItem(item))
    }
    return { status: 200, body: { items, 'more-pages': items.length < keys.length, 'as-of': this._revision } }
  }

  async _serveWatch (query) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after') ?? 0)
    const until = performance.now() + Math.min(MAX_WAIT_MS, Number(query.get('wait-ms') ?? 0))
    for (;;) {
      const events = this._history.filter(event => event.revision > after && event.key.startsWith(prefix))
      const leftMs = until - performance.now()
      if (events.length > 0 || leftMs <= 0) return { status: 200, body: { events: events.map(event => event.tombstone === true ? event : encodeItem(event)), 'as-of': this._revision } }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this._waiting.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, leftMs)
        this._waiting.add(wake)
      })
    }
  }

  _serveTransaction ({ expect = [], puts = [], remove = [] }) {
    const written = [...puts.map(({ key }) => key), ...remove]
    if (expect.length + puts.length + remove.length > MAX_ENTRIES) return { status: 400, body: {} }
    if (puts.some(({ key, value }) => Buffer.byteLength(key) > MAX_KEY_BYTES || Buffer.from(value, 'base64').length > this._valueBytes)) return { status: 400, body: {} }
    if (written.some(key => key.startsWith('op/') || key.startsWith('servers/'))) return { status: 403, body: {} }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this._leases.has(lease))) return { status: 404, body: {} }
    const isMet = expect.every(({ key, revision }) => (this._items.get(key)?.revision ?? 0) === revision)
    if (!isMet) return { status: 412, body: { items: expect.flatMap(({ key }) => this._items.has(key) ? [encodeItem(this._items.get(key))] : []) } }
    this._change(puts.map(({ key, value, lease = 0 }) => ({ key, value: Buffer.from(value, 'base64'), lease })), remove)
    return { status: 200, body: { revision: this._revision } }
  }

  _serveLease ({ 'ttl-ms': asked }) {
    const ttlMs = Math.min(MAX_TTL_MS, Math.max(MIN_TTL_MS, asked))
    const id = this._nextLease++
    this._leases.set(id, { ttlMs, until: performance.now() + ttlMs })
    return { status: 200, body: { lease: id, 'ttl-ms': ttlMs } }
  }

  _serveKeep (id) {
    const lease = this._leases.get(id)
    if (lease === undefined) return { status: 404, body: {} }
    lease.until = performance.now() + lease.ttlMs
    return { status: 200, body: { lease: id, 'ttl-ms': lease.ttlMs } }
  }

  _serveLeaseEnd (id) {
    if (!this._leases.has(id)) return { status: 404, body: {} }
    this._endLease(id)
    return { status: 200, body: {} }
  }

  _expireLeases () {
    const now = performance.now()
    for (const [id, { until }] of [...this._leases]) if (until <= now) this._endLease(id)
  }

  _endLease (id) {
    this._leases.delete(id)
    const keys = [...this._items.values()].filter(item => item.lease === id).map(item => item.key)
    if (keys.length > 0) this._change([], keys)
  }

  _change (puts, removes) {
    this._revision++
    for (const { key, value, lease = 0 } of puts) {
      const item = { key, value, revision: this._revision, createdRevision: this._items.get(key)?.createdRevision ?? this._revision, lease }
      this._items.set(key, item)
      this._history.push(item)
    }
    for (const key of removes) if (this._items.delete(key)) this._history.push({ key, revision: this._revision, tombstone: true })
    for (const wake of [...this._waiting]) wake()
  }
}

function encodeItem ({ key, value, revision, createdRevision, lease }) {
  return { key, value: value.toString('base64'), revision, 'created-rev': createdRevision, lease }
}
