/**
 * Stand-in for the platform's metadata store. Each machine gets an address of its own, so that the store can turn single machines away.
 */
import { createServer } from 'node:http'

const HISTORY_LIMIT = 5_000
const PAGE_SIZE = 500

export class Store {
  /** Called before a call is carried out; returns an HTTP status to reject it without effect, `reset` to reset its channel, or 0. */
  reject = () => 0
  /** Called after a write was carried out; returns true to leave it unanswered. */
  loses = () => false
  items = new Map()
  /** While true, watches hear of no change. */
  isDeaf = false
  #revision = 1
  #oldestRevision = 0
  #downSince
  #leases = new Map()
  #nextLease = 1
  #history = []
  #waiters = new Set()
  #servers = []
  #expiry = setInterval(() => this.#expireLeases(), 50)

  /** Forgets the history of changes, so that watches from before end. */
  forgetHistory () {
    this.#oldestRevision = this.#revision
    this.#history = []
    for (const wake of [...this.#waiters]) wake()
  }

  /** Goes down: resets the channels of all machines. Leases pause meanwhile. */
  stop () {
    this.#downSince = performance.now()
    this.reject = () => 'reset'
    for (const server of this.#servers) server.closeAllConnections()
  }

  /** Serves all machines again. */
  resume () {
    for (const lease of this.#leases.values()) lease.endsAt += performance.now() - this.#downSince
    this.#downSince = undefined
    this.reject = () => 0
  }

  /** Opens an address for a machine. */
  async listen (machine, host, port) {
    const server = createServer((request, response) => { this.#handle(machine, request, response) })
    this.#servers.push(server)
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, resolve)
    })
    return `${host}:${port}`
  }

  /** Writes a key as the operator does. */
  write (key, value) {
    this.#apply([{ key, value: Buffer.from(value).toString('base64'), lease: 0 }], [])
  }

  close () {
    clearInterval(this.#expiry)
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  async #handle (machine, request, response) {
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    const url = new URL(request.url, 'http://store')
    const status = this.reject(machine, request.method, url.pathname)
    if (status === 'reset') return request.socket.resetAndDestroy()
    if (status !== 0) return send(response, status, {})
    const text = Buffer.concat(chunks).toString('utf8')
    const body = text === '' ? {} : JSON.parse(text)
    const id = url.pathname.split('/').at(-1)
    if (url.pathname === '/-/kv-key') return this.#serveKey(url.searchParams, response)
    if (url.pathname === '/-/kv-range') return this.#serveRange(url.searchParams, response)
    if (url.pathname === '/-/kv-watch') return this.#serveWatch(url.searchParams, response)
    const answer = this.#write(url.pathname, id, body)
    if (url.pathname === '/-/kv-txn' && this.loses(machine, body, answer)) return
    send(response, ...answer)
  }

  #write (path, id, body) {
    this.#expireLeases()
    if (path === '/-/kv-txn') return this.#transact(body)
    if (path === '/-/kv-lease') {
      const lease = this.#nextLease++
      this.#leases.set(lease, { ttlMs: body['ttl-ms'], endsAt: performance.now() + body['ttl-ms'] })
      return [200, { lease, 'ttl-ms': body['ttl-ms'] }]
    }
    const lease = this.#leases.get(Number(id))
    if (lease === undefined) return [404, {}]
    if (path.startsWith('/-/kv-keep/')) {
      lease.endsAt = performance.now() + lease.ttlMs
      return [200, { 'ttl-ms': lease.ttlMs }]
    }
    lease.endsAt = -Infinity
    this.#expireLeases()
    return [200, {}]
  }

  #transact ({ expect = [], puts = [], remove = [] }) {
    const isMet = expect.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision)
    if (!isMet) return [412, { items: expect.flatMap(({ key }) => this.items.get(key) ?? []) }]
    if (puts.some(({ lease }) => lease > 0 && !this.#leases.has(lease))) return [404, {}]
    this.#apply(puts, remove)
    return [200, { revision: this.#revision }]
  }

  #apply (puts, removed) {
    this.#revision++
    for (const { key, value, lease = 0 } of puts) {
      const item = { key, value, revision: this.#revision, 'created-rev': this.items.get(key)?.['created-rev'] ?? this.#revision, lease }
      this.items.set(key, item)
      this.#history.push(item)
    }
    for (const key of removed) if (this.items.delete(key)) this.#history.push({ key, revision: this.#revision, tombstone: true })
    if (this.#history.length > HISTORY_LIMIT) this.#history.splice(0, this.#history.length - HISTORY_LIMIT)
    for (const wake of [...this.#waiters]) wake()
  }

  #expireLeases () {
    if (this.#downSince !== undefined) return
    for (const [id, { endsAt }] of this.#leases) {
      if (performance.now() < endsAt) continue
      this.#leases.delete(id)
      const keys = [...this.items.values()].filter(item => item.lease === id).map(item => item.key)
      if (keys.length > 0) this.#apply([], keys)
    }
  }

  #serveKey (query, response) {
    const item = this.items.get(query.get('key'))
    if (item === undefined) send(response, 404, {})
    else send(response, 200, { ...item, 'as-of': this.#revision })
  }

  #serveRange (query, response) {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const found = [...this.items.values()].filter(item => item.key.startsWith(prefix) && item.key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    send(response, 200, { items: found.slice(0, PAGE_SIZE), 'more-pages': found.length > PAGE_SIZE, 'as-of': this.#revision })
  }

  async #serveWatch (query, response) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const read = () => this.isDeaf ? [] : this.#history.filter(event => event.revision > after && event.key.startsWith(prefix))
    const endsAt = performance.now() + Number(query.get('wait-ms') ?? 0)
    const asOf = () => this.isDeaf ? after : this.#revision
    while (after >= this.#oldestRevision && read().length === 0 && performance.now() < endsAt) await this.#waitForChange(endsAt - performance.now())
    if (after < this.#oldestRevision) send(response, 410, {})
    else send(response, 200, { events: read(), 'as-of': asOf() })
  }

  #waitForChange (ms) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        this.#waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, ms)
      this.#waiters.add(wake)
    })
  }
}

function send (response, status, body) {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
