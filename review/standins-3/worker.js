/**
 * Stand-in for a worker, as PROTOCOL.md describes it: registers at the agent on its machine, starts, stops and lists runs, keeps the lease, and rejects what does not fit.
 */
import { call, openServer } from './http.js'

const HEARTBEAT_MS = 1_500
const TICK_MS = 20
const MAX_LISTED_ENDS = 500
const WHOLE_PERCENT = 100

/** Runs of gangs over all workers of a fleet, by task step and run number. */
export class Gangs {
  constructor () {
    this.members = new Map()
  }

  join (key, member) {
    if (!this.members.has(key)) this.members.set(key, new Set())
    this.members.get(key).add(member)
  }

  leave (key, member) {
    this.members.get(key)?.delete(member)
  }

  list (key) {
    return [...this.members.get(key) ?? []]
  }
}

/**
 * Options: `id`, `host`, `port`, `control` (address of the agent), `rack`, `service`, `zone`, `capacity`, `gangs`, `leaseMaxMs`, `stopGraceMs`, `gangTimeoutMs`, `describe` (returns what a task is, by its name:
 * `{ workMs, needs, gangSize, isLasting }`), and `record`.
 */
export class Worker {
  constructor (options) {
    this.options = options
    this.born = Date.now()
    this.startedAt = performance.now()
    this.sequence = 0
    this.token = 0
    this.leaseUntil = 0
    this.isLapsed = true
    this.lastSeen = 0
    this.running = new Map()
    this.barred = new Map()
    this.ended = []
    this.endCount = 0
    this.waiting = new Set()
  }

  get clockMs () {
    return Math.floor(performance.now() - this.startedAt) + 1_000
  }

  async open () {
    const { host, port } = this.options
    this.server = await openServer(host, port, request => this.handle(request))
    this.ticker = setInterval(() => this.tick(), TICK_MS)
    this.beat = setInterval(() => this.sendHeartbeat(), HEARTBEAT_MS)
    this.sendHeartbeat()
  }

  close () {
    clearInterval(this.ticker)
    clearInterval(this.beat)
    this.server?.closeAllConnections()
    this.server?.close()
  }

  async sendHeartbeat () {
    const { id, host, port, control, rack, service, zone, capacity } = this.options
    const answer = await call({
      address: control,
      method: 'POST',
      path: `/-/instances/${id}/heartbeat`,
      timeoutMs: 1_000,
      body: { service, address: `${host}:${port}`, zone, version: 'v1', slots: 8, state: 'ready', 'cold-left-ms': 0, capacity, labels: ['a', rack], 'clock-ms': this.clockMs, 'call-seq': ++this.sequence, born: this.born }
    })
    // Before the first acknowledgement, the agent may still be starting.
    if (answer.status !== 200 && this.server !== undefined && this.sequence < 40) setTimeout(() => this.sendHeartbeat(), 300).unref()
  }

  async handle ({ path, headers, body }) {
    if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== this.options.id) return { status: 421 }
    if (path === '/-/run-start') return this.start(body)
    if (path === '/-/run-stop') return this.stop(body)
    if (path === '/-/hold') return this.hold(body)
    if (path === '/-/pace') return this.answer(200)
    return { status: 404 }
  }

  answer (status, fields = {}) {
    return { status, body: { 'clock-ms': this.clockMs, ...fields } }
  }

  /** Returns an answer if the call has a lower fencing token than one seen before. */
  fence (body) {
    const token = body['fencing-token'] ?? 0
    if (token < this.token) return this.answer(409, { reason: 'fence' })
    this.token = token
    return undefined
  }

  start (body) {
    const fenced = this.fence(body)
    if (fenced !== undefined) return fenced
    const { task, 'run-id': run, 'expires-ms': expires } = body
    if (this.running.get(task)?.run === run) return this.answer(200)
    if (expires <= this.clockMs) return this.answer(409, { reason: 'late' })
    this.extend(expires)
    if (run <= (this.barred.get(task) ?? 0) || this.running.has(task)) return this.answer(409, { reason: 'old' })
    const traits = this.options.describe(task)
    if (!this.fits(traits.needs)) return this.answer(409, { reason: 'room' })
    const gang = traits.gangSize > 1 ? `${task.split('.').slice(0, 3).join('.')}/${run}` : undefined
    const entry = { worker: this, task, run, traits, gang, begunAt: performance.now(), workSince: gang === undefined ? performance.now() : undefined, stopAt: undefined }
    this.running.set(task, entry)
    if (gang !== undefined) this.options.gangs.join(gang, entry)
    this.options.record('start', { worker: this.options.id, task, run })
    this.wake()
    return this.answer(200)
  }

  stop (body) {
    const fenced = this.fence(body)
    if (fenced !== undefined) return fenced
    const { task, 'run-id': run } = body
    this.barred.set(task, Math.max(run, this.barred.get(task) ?? 0))
    const entry = this.running.get(task)
    if (entry?.run === run) entry.stopAt ??= performance.now() + this.options.stopGraceMs / 2
    return this.answer(200)
  }

  async hold (body) {
    const fenced = this.fence(body)
    if (fenced !== undefined) return fenced
    if (body['expires-ms'] !== undefined) this.extend(body['expires-ms'])
    this.noteEnds(body['last-seen'] ?? 0)
    const count = this.endCount
    if (this.ended.length === 0 && (body['wait-ms'] ?? 0) > 0) {
      await new Promise(resolve => {
        const end = () => {
          clearTimeout(timer)
          this.waiting.delete(end)
          resolve()
        }
        const timer = setTimeout(end, body['wait-ms'])
        this.waiting.add(end)
        if (this.endCount > count) end()
      })
    }
    const running = [...this.running.values()].map(entry => [entry.task, entry.run, '', this.measure(entry), 1])
    return this.answer(200, { born: this.born, running, ended: this.ended.slice(0, MAX_LISTED_ENDS) })
  }

  /** Forgets the ends that the caller has seen. */
  noteEnds (lastSeen) {
    if (lastSeen <= this.lastSeen) return
    this.lastSeen = lastSeen
    this.ended = this.ended.filter(([number]) => number > lastSeen)
    this.options.record('noted', { worker: this.options.id, lastSeen })
  }

  extend (expires) {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(expires, this.clockMs + this.options.leaseMaxMs))
    if (this.leaseUntil > this.clockMs) this.isLapsed = false
  }

  fits (needs) {
    const used = { cpu: 0, 'mem-mb': 0, gpu: 0 }
    for (const { traits } of this.running.values()) for (const kind of Object.keys(used)) used[kind] += traits.needs[kind] ?? 0
    return Object.keys(used).every(kind => used[kind] + (needs[kind] ?? 0) <= this.options.capacity[kind])
  }

  measure ({ traits, workSince }) {
    if (workSince === undefined) return 0
    if (traits.isLasting) return WHOLE_PERCENT
    return Math.min(WHOLE_PERCENT - 1, Math.floor((performance.now() - workSince) / traits.workMs * WHOLE_PERCENT))
  }

  tick () {
    const now = performance.now()
    if (!this.isLapsed && this.clockMs > this.leaseUntil) {
      this.isLapsed = true
      this.options.record('lease lapsed', { worker: this.options.id })
    }
    if (this.isLapsed) for (const entry of [...this.running.values()]) this.end(entry, 'lapsed')
    for (const entry of [...this.running.values()]) {
      if (entry.stopAt !== undefined && now >= entry.stopAt) this.end(entry, 'stopped')
      else if (entry.gang !== undefined) this.tickGang(entry, now)
      else if (!entry.traits.isLasting && now - entry.workSince >= entry.traits.workMs) this.end(entry, 'done')
    }
  }

  tickGang (entry, now) {
    const members = this.options.gangs.list(entry.gang)
    if (members.length === entry.traits.gangSize) for (const member of members) member.workSince ??= now
    if (entry.workSince === undefined) {
      if (now - entry.begunAt > this.options.gangTimeoutMs) this.end(entry, 'alone')
    } else if (members.length < entry.traits.gangSize) this.end(entry, 'broken')
    else if (now - entry.workSince >= entry.traits.workMs) for (const member of members) member.worker.end(member, 'done')
  }

  end (entry, how) {
    if (this.running.get(entry.task) !== entry) return
    this.running.delete(entry.task)
    if (entry.gang !== undefined) this.options.gangs.leave(entry.gang, entry)
    this.barred.set(entry.task, Math.max(entry.run, this.barred.get(entry.task) ?? 0))
    this.ended.push([++this.endCount, entry.task, entry.run, how, ''])
    this.options.record('end', { worker: this.options.id, number: this.endCount, task: entry.task, run: entry.run, how })
    this.wake()
  }

  wake () {
    for (const end of [...this.waiting]) end()
  }
}
