/**
 * Stand-in for a worker: check-ins, starts, stops and holds as the platform's protocol describes them. A task spec is a JSON text with the run time `ms` of a
 * subtask and how it ends (`how`, `done` by default). Each subtask needs one accelerator.
 */
import { createServer, request as openRequest } from 'node:http'

const HEARTBEAT_MS = 1_500
const LEASE_MAX_MS = 6_000
const STOP_MS = 300
const ACCELERATORS = 8

export class Worker {
  /**
   * Called with what happened to a run: `begin`, how it ended, `crash`, or `end noted` when `last-seen` reaches its end
   * and the lease has not lapsed between the two.
   */
  onRun = () => {}
  isUp = false
  #options
  #server
  #timer
  #sequence = 0
  #startedAt = 0
  #token = 0
  #leaseUntil = 0
  #leaseTimer
  #runs = new Map()
  #highest = new Map()
  #ended = []
  #endCount = 0
  #lapses = 0
  /** Number of times that the lease had lapsed when a run ended, by the number of the end. */
  #lapsesAtEnd = new Map()
  #waiters = new Set()

  /** `id`, `host`, `port`, `control` (address of the agent), `service`, `zone` and `rack`. */
  constructor (options) {
    this.#options = options
  }

  get id () {
    return this.#options.id
  }

  get address () {
    return `${this.#options.host}:${this.#options.port}`
  }

  get control () {
    return this.#options.control
  }

  get runs () {
    return [...this.#runs.values()]
  }

  /** Starts a new incarnation, which knows nothing of before. */
  async start () {
    this.born = Date.now()
    this.#startedAt = performance.now()
    this.#sequence = 0
    this.#token = 0
    this.#leaseUntil = 0
    this.#highest.clear()
    this.#ended = []
    this.#endCount = 0
    this.#server = createServer((request, response) => { this.#handle(request, response) })
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#options.port, this.#options.host, resolve)
    })
    this.isUp = true
    this.#timer = setInterval(() => this.#checkIn(), HEARTBEAT_MS)
    this.#checkIn()
  }

  /** Ends this incarnation without a word. */
  crash () {
    this.isUp = false
    clearInterval(this.#timer)
    clearTimeout(this.#leaseTimer)
    for (const run of this.runs) {
      clearTimeout(run.timer)
      this.#runs.delete(run.task)
      this.onRun('crash', run, this)
    }
    this.#server.closeAllConnections()
    this.#server.close()
    for (const wake of [...this.#waiters]) wake()
  }

  /** Ends the run of a subtask by itself. */
  endRun (task, how) {
    this.#endRun(this.#runs.get(task), how)
  }

  /** Returns the body of a check-in of this worker. */
  describe () {
    const { service, zone, rack } = this.#options
    return {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      'cold-left-ms': 0,
      born: this.born,
      capacity: { cpu: 32_000, 'mem-mb': 131_072, gpu: ACCELERATORS },
      labels: ['a', rack],
      'clock-ms': this.#clockMs,
      'call-seq': ++this.#sequence
    }
  }

  get #clockMs () {
    return Math.floor(performance.now() - this.#startedAt)
  }

  #checkIn () {
    postCheckIn(this.#options.control, this.id, this.describe())
  }

  async #handle (request, response) {
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return send(response, 421, {})
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8'))
    const token = body['fencing-token'] ?? 0
    if (token < this.#token) return this.#refuse(response, 'fence')
    this.#token = token
    if (request.url === '/-/run-start') return this.#startRun(body, response)
    if (request.url === '/-/run-stop') return this.#stopRun(body, response)
    if (request.url === '/-/hold') return this.#hold(body, response)
    send(response, 404, {})
  }

  #refuse (response, reason) {
    send(response, 409, { 'clock-ms': this.#clockMs, reason })
  }

  #startRun (body, response) {
    const { task } = body
    const number = body['run-id']
    if (body['expires-ms'] <= this.#clockMs) return this.#refuse(response, 'late')
    this.#extendLease(body['expires-ms'])
    const present = this.#runs.get(task)
    if (present?.number === number) return send(response, 200, { 'clock-ms': this.#clockMs })
    if (present !== undefined || number <= (this.#highest.get(task) ?? 0)) return this.#refuse(response, 'old')
    if (this.#runs.size >= ACCELERATORS) return this.#refuse(response, 'room')
    const spec = JSON.parse(body['task-spec'])
    const run = { task, number, spec: body['task-spec'], ms: spec.ms, startedAt: performance.now(), timer: undefined }
    run.timer = setTimeout(() => this.#endRun(run, spec.how ?? 'done'), spec.ms)
    this.#runs.set(task, run)
    this.onRun('begin', run, this)
    send(response, 200, { 'clock-ms': this.#clockMs })
  }

  #stopRun (body, response) {
    const { task } = body
    this.#highest.set(task, Math.max(body['run-id'], this.#highest.get(task) ?? 0))
    const run = this.#runs.get(task)
    if (run !== undefined && run.number <= body['run-id']) {
      clearTimeout(run.timer)
      run.timer = setTimeout(() => this.#endRun(run, 'stopped'), STOP_MS)
    }
    send(response, 200, { 'clock-ms': this.#clockMs })
  }

  async #hold (body, response) {
    if (body['expires-ms'] !== undefined) this.#extendLease(body['expires-ms'])
    for (const [number, task, run] of this.#ended) {
      if (number <= body['last-seen'] && this.#lapsesAtEnd.get(number) === this.#lapses) this.onRun('end noted', { task, number: run }, this)
    }
    this.#ended = this.#ended.filter(([number]) => number > body['last-seen'])
    if (this.#ended.length === 0 && body['wait-ms'] > 0) await this.#waitForEnd(body['wait-ms'])
    const running = this.runs.map(run => [run.task, run.number, '', Math.min(99, Math.floor((performance.now() - run.startedAt) / run.ms * 100)), 1])
    send(response, 200, { 'clock-ms': this.#clockMs, born: this.born, running, ended: this.#ended.slice(0, 500) })
  }

  #extendLease (until) {
    const bounded = Math.min(until, this.#clockMs + LEASE_MAX_MS)
    if (bounded <= this.#leaseUntil) return
    this.#leaseUntil = bounded
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => this.#lapse(), bounded - this.#clockMs)
  }

  #lapse () {
    this.#lapses++
    for (const run of this.runs) this.#endRun(run, 'lapsed')
  }

  #endRun (run, how) {
    if (this.#runs.get(run.task) !== run) return
    clearTimeout(run.timer)
    this.#runs.delete(run.task)
    this.#highest.set(run.task, Math.max(run.number, this.#highest.get(run.task) ?? 0))
    this.#lapsesAtEnd.set(this.#endCount + 1, this.#lapses)
    this.#ended.push([++this.#endCount, run.task, run.number, how, ''])
    this.onRun(how, run, this)
    for (const wake of [...this.#waiters]) wake()
  }

  #waitForEnd (ms) {
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

/** Sends a check-in to a control address. Resolves with the HTTP status, or 0 without an answer. */
export function postCheckIn (control, id, body) {
  const [host, port] = control.split(':')
  return new Promise(resolve => {
    const request = openRequest({ host, port, method: 'POST', path: `/-/instances/${encodeURIComponent(id)}/heartbeat`, headers: { 'content-type': 'application/json' }, timeout: 1_000, agent: false }, response => {
      response.resume()
      resolve(response.statusCode)
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(0))
    request.end(JSON.stringify(body))
  })
}

function send (response, status, body) {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
