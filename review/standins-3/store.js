/**
 * Stand-in for the platform's metadata store, as PROTOCOL.md describes it: keys with revisions, pages, watches, transactions and leases. A value above `valueBytes` is rejected with status 400 and
 * nothing is done.
 */
import { setTimeout as sleep } from 'node:timers/promises'

import { openServer } from './http.js'

const MAX_ITEMS = 500
const MAX_PAGE_BYTES = 1_000_000
const MAX_ENTRIES = 32
const EXPIRY_MS = 50
/** Time until an answer, in milliseconds, as SYSTEM.md gives it. */
const ANSWER_MS = 4
/** Number of rejected transactions of which each gets a line in the record. */
const MAX_RECORDED = 5

export class Store {
  constructor ({ valueBytes = 1_048_576, record = () => {} } = {}) {
    this.valueBytes = valueBytes
    this.record = record
    this.revision = 1
    this.items = new Map()
    this.history = []
    this.leases = new Map()
    this.waiting = new Set()
    this.rejected = 0
  }

  async open (host, port) {
    this.address = `${host}:${port}`
    this.server = await openServer(host, port, request => this.handle(request))
    this.timer = setInterval(() => this.expireLeases(), EXPIRY_MS)
  }

  close () {
    clearInterval(this.timer)
    this.server?.closeAllConnections()
    this.server?.close()
  }

  /** Writes a key as the operator does. */
  write (key, value) {
    this.apply([{ key, value: Buffer.from(value).toString('base64'), lease: 0 }], [])
  }

  async handle ({ method, path, query, body }) {
    await sleep(ANSWER_MS)
    if (method === 'GET' && path === '/-/kv-key') return this.readKey(query.get('key'))
    if (method === 'GET' && path === '/-/kv-range') return this.readRange(query.get('prefix') ?? '', query.get('after') ?? '')
    if (method === 'GET' && path === '/-/kv-watch') return this.watch(query.get('prefix') ?? '', Number(query.get('after')), Number(query.get('wait-ms')))
    if (method === 'POST' && path === '/-/kv-txn') return this.transact(body)
    if (method === 'POST' && path === '/-/kv-lease') return this.grantLease(body['ttl-ms'])
    if (method === 'POST' && path.startsWith('/-/kv-keep/')) return this.renewLease(Number(path.split('/').at(-1)))
    if (method === 'DELETE' && path.startsWith('/-/kv-lease-end/')) return this.endLease(Number(path.split('/').at(-1)))
    return { status: 404 }
  }

  readKey (key) {
    const item = this.items.get(key)
    return item === undefined ? { status: 404 } : { status: 200, body: { ...item, 'as-of': this.revision } }
  }

  readRange (prefix, after) {
    const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort()
    const items = []
    let bytes = 0
    for (const key of keys) {
      const item = this.items.get(key)
      if (items.length === MAX_ITEMS || (items.length > 0 && bytes + item.value.length > MAX_PAGE_BYTES)) break
      items.push(item)
      bytes += item.value.length
    }
    return { status: 200, body: { items, 'more-pages': items.length < keys.length, 'as-of': this.revision } }
  }

  async watch (prefix, after, waitMs) {
    const read = () => this.history.filter(event => event.revision > after && event.key.startsWith(prefix))
    if (read().length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const end = () => {
          clearTimeout(timer)
          this.waiting.delete(check)
          resolve()
        }
        const check = () => { if (read().length > 0) end() }
        const timer = setTimeout(end, waitMs)
        this.waiting.add(check)
      })
    }
    return { status: 200, body: { events: read(), 'as-of': this.revision } }
  }

  transact ({ expect = [], puts = [], remove = [] }) {
    const large = puts.find(({ value }) => Buffer.byteLength(value, 'base64') > this.valueBytes)
    if (large !== undefined || expect.length + puts.length + remove.length > MAX_ENTRIES) {
      this.rejected++
      if (this.rejected <= MAX_RECORDED) this.record('store rejects a transaction', { key: large?.key, bytes: large === undefined ? undefined : Buffer.byteLength(large.value, 'base64'), limit: this.valueBytes })
      return { status: 400, body: { reason: 'too large' } }
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return { status: 404 }
    const isMet = expect.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision)
    if (!isMet) return { status: 412, body: { items: expect.flatMap(({ key }) => this.items.get(key) ?? []) } }
    this.apply(puts, remove)
    return { status: 200, body: { revision: this.revision } }
  }

  apply (puts, remove) {
    const revision = ++this.revision
    for (const { key, value, lease = 0 } of puts) {
      const item = { key, value, revision, 'created-rev': this.items.get(key)?.['created-rev'] ?? revision, lease }
      this.items.set(key, item)
      this.history.push(item)
    }
    for (const key of remove) if (this.items.delete(key)) this.history.push({ key, revision, tombstone: true })
    for (const check of [...this.waiting]) check()
  }

  grantLease (ttlMs) {
    const lease = ++this.revision
    this.leases.set(lease, { ttlMs, until: performance.now() + ttlMs })
    return { status: 200, body: { lease, 'ttl-ms': ttlMs } }
  }

  renewLease (lease) {
    const known = this.leases.get(lease)
    if (known === undefined) return { status: 404 }
    known.until = performance.now() + known.ttlMs
    return { status: 200, body: { 'ttl-ms': known.ttlMs } }
  }

  endLease (lease) {
    if (!this.leases.delete(lease)) return { status: 404 }
    const keys = [...this.items.values()].filter(item => item.lease === lease).map(({ key }) => key)
    if (keys.length > 0) this.apply([], keys)
    return { status: 200 }
  }

  expireLeases () {
    for (const [lease, { until }] of [...this.leases]) if (performance.now() > until) this.endLease(lease)
  }
}
