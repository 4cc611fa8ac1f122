/**
 * Stand-in for a worker, as the users' protocol page describes it: check-ins, runs under one lease, fencing tokens, gangs, ends that are listed until they are acknowledged. Its work advances in
 * steps of the `WorkClock` that all workers of a case share.
 */
import { callJson, openJsonServer } from './http.js'

/** Longest `task-spec` that is recorded as it is, in characters. */
const MAX_RECORDED = 100
/** Factor by which subtasks take longer in several racks that are to share one. */
const REMOTE_FACTOR = 3

/** Name of the step of a task: ID.K.STEP. */
function getStep (task) {
  return task.split('.').slice(0, 3).join('.')
}

/** Advances the work of all workers, so that runs of equal work that begin within one step end together. */
export class WorkClock {
  constructor (stepMs) {
    this.stepMs = stepMs
    this.workers = new Set()
    this._timer = setInterval(() => this._advance(), stepMs)
    this.steppedAt = performance.now()
  }

  close () {
    clearInterval(this._timer)
  }

  _advance () {
    this.steppedAt = performance.now()
    for (const worker of this.workers) worker.advance(this.stepMs)
    for (const worker of this.workers) worker.endFinishedRuns()
  }
}

export class WorkerStandIn {
  /**
   * `describeTask` returns `{ workMs, gangSize, isSameRack, needs }` for the name of a task; `record` gets what happens.
   */
  constructor (options) {
    this._options = { heartbeatMs: 1_500, holdMaxMs: 6_000, stopGraceMs: 400, gangTimeoutMs: 3_000, ...options }
    this.id = options.id
    /** How many times as long work takes. */
    this.slowness = 1
    /** True while each run fails right after its start. */
    this.isFailing = false
    this.isUp = false
  }

  /** Starts an incarnation: nothing of an earlier one is known. */
  async start () {
    this.born = Date.now()
    this._startedAt = performance.now()
    this._runs = new Map()
    this._highestRuns = new Map()
    this._ended = []
    this._endCount = 0
    this._epoch = 0
    this._leaseUntil = 0
    this._sequence = 0
    this._state = 'ready'
    this._waiting = new Set()
    this.isUp = true
    this._server = await openJsonServer(this._options.address, call => this._serve(call))
    this._options.workClock.workers.add(this)
    this._record('worker up', { born: this.born })
    this._checkIn()
    this._heartbeatTimer = setInterval(() => this._checkIn(), this._options.heartbeatMs)
  }

  /** Ends the incarnation without a word, as a crash does. */
  crash (what = 'worker crashed') {
    if (!this.isUp) return
    this.isUp = false
    clearInterval(this._heartbeatTimer)
    this._options.workClock.workers.delete(this)
    for (const run of this._runs.values()) {
      clearTimeout(run.timer)
      this._record('run ended by the crash', { task: run.task, run: run.number })
      this._leaveGang(run, 'broken')
    }
    this._runs.clear()
    this._server.close()
    this._record(what, {})
  }

  /** Leaves as a worker does that is taken away: reports that it drains, serves on for `drainMs` after that, deregisters and ends. */
  async leave (drainMs) {
    this._state = 'draining'
    this._drainsUntil = performance.now() + drainMs
    this._record('worker drains', { drainMs })
    await this._checkIn()
    await new Promise(resolve => setTimeout(resolve, drainMs))
    await callJson({ address: this._options.agentAddress, method: 'POST', path: `/-/instances/${this.id}/deregister`, timeoutMs: 1_000, body: {} })
    this.crash('worker left')
  }

  get clockMs () {
    return Math.floor(performance.now() - this._startedAt)
  }

  /** Names of the tasks that run here. */
  get runningTasks () {
    return [...(this._runs ?? new Map()).values()].map(({ task }) => task)
  }

  get rack () {
    return this._options.labels[1]
  }

  get capacity () {
    return this._options.capacity
  }

  get freeCapacity () {
    const held = [...(this._runs ?? new Map()).values()].map(({ needs }) => needs)
    return Object.fromEntries(Object.entries(this.capacity).map(([name, amount]) => [name, held.reduce((free, needs) => free - needs[name], amount)]))
  }

  advance (ms) {
    if (this.clockMs > this._leaseUntil) for (const run of [...this._runs.values()]) this._endRun(run, 'lapsed')
    for (const run of this._runs.values()) if (run.isAtWork) run.workedMs += ms / this.slowness / (this._isSpread(run) ? REMOTE_FACTOR : 1)
  }

  /** True if a run is to share a rack with the others of its step, and one of them is in another rack. */
  _isSpread ({ task, isSameRack }) {
    if (isSameRack !== true) return false
    const step = getStep(task)
    return [...this._options.workClock.workers].some(other => other.rack !== this.rack && other.runningTasks.some(name => getStep(name) === step))
  }

  /** Ends the runs whose work is complete; the members of a gang end together. */
  endFinishedRuns () {
    for (const run of [...this._runs.values()]) {
      if (!run.isAtWork || run.workedMs < run.workMs) continue
      if (run.gang === undefined) this._endRun(run, 'done')
      else if ([...run.gang.members].every(({ run: member }) => member.workedMs >= member.workMs)) this._endRun(run, 'done')
    }
  }

  async _checkIn () {
    const { id, address, agentAddress, service, zone, labels, capacity } = this._options
    await callJson({
      address: agentAddress,
      method: 'POST',
      path: `/-/instances/${id}/heartbeat`,
      timeoutMs: 1_000,
      body: { service, address, zone, version: 'v1', slots: 8, state: this._state, ...(this._state === 'draining' ? { 'drain-left-ms': Math.max(0, Math.round(this._drainsUntil - performance.now())) } : {}), 'cold-left-ms': 0, capacity, labels, born: this.born, 'clock-ms': this.clockMs, 'call-seq': ++this._sequence }
    })
  }

  async _serve ({ method, path, headers, body }) {
    if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== this.id) return { status: 421, body: {} }
    if (method !== 'POST') return { status: 404, body: {} }
    const token = body['fencing-token'] ?? 0
    if (token < this._epoch) return this._refuse('fence')
    this._epoch = token
    if (path === '/-/run-start') return this._startRun(body)
    if (path === '/-/run-stop') return this._stopRun(body)
    if (path === '/-/pace') return this._answer()
    if (path === '/-/hold') return this._hold(body)
    return { status: 404, body: {} }
  }

  _answer (fields = {}) {
    return { status: 200, body: { 'clock-ms': this.clockMs, born: this.born, ...fields } }
  }

  _refuse (reason) {
    return { status: 409, body: { 'clock-ms': this.clockMs, reason } }
  }

  _extendLease (until) {
    this._leaseUntil = Math.max(this._leaseUntil, Math.min(until, this.clockMs + this._options.holdMaxMs))
  }

  _startRun ({ task, 'run-id': number, 'task-spec': payload, 'expires-ms': until, checkpoint = '' }) {
    if (this._runs.get(task)?.number === number) return this._answer()
    if (number <= (this._highestRuns.get(task) ?? 0) || this._runs.has(task)) {
      this._extendLease(until)
      return this._refuse('old')
    }
    if (until <= this.clockMs) return this._refuse('late')
    const { workMs, gangSize, isSameRack, needs } = this._options.describeTask(task)
    this._extendLease(until)
    const free = this.freeCapacity
    if (Object.keys(needs).some(name => needs[name] > free[name])) return this._refuse('room')
    const run = { task, number, workMs, isSameRack, needs, workedMs: 0, isAtWork: false, worker: this }
    this._runs.set(task, run)
    this._record('run started', { task, run: number, payload: payload.length > MAX_RECORDED ? `${payload.length} characters` : payload, checkpoint })
    if (this.isFailing) run.timer = setTimeout(() => this._endRun(run, 'failed'), 100)
    else if (gangSize === undefined) run.isAtWork = true
    else this._joinGang(run, gangSize)
    return this._answer()
  }

  _stopRun ({ task, 'run-id': number }) {
    this._highestRuns.set(task, Math.max(number, this._highestRuns.get(task) ?? 0))
    const run = this._runs.get(task)
    if (run?.number === number && run.isStopping !== true) {
      run.isStopping = true
      this._record('stop received', { task, run: number })
      setTimeout(() => this._endRun(run, 'stopped'), this._options.stopGraceMs / 4)
    }
    return this._answer()
  }

  async _hold ({ 'last-seen': seen = 0, 'expires-ms': until, 'wait-ms': waitMs = 0 }) {
    if (until !== undefined) this._extendLease(until)
    this._ended = this._ended.filter(([number]) => number > seen)
    if (this._ended.length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this._waiting.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, Math.min(2_000, waitMs))
        this._waiting.add(wake)
      })
    }
    if (!this.isUp) return undefined
    const running = [...this._runs.values()].map(run => [run.task, run.number, '', Math.min(99, Math.floor(run.workedMs / run.workMs * 100)), run.needs.cpu])
    return this._answer({ running, ended: this._ended.slice(0, 500) })
  }

  _joinGang (run, size) {
    const { gangs, gangTimeoutMs } = this._options
    const key = `${getStep(run.task)}/${run.number}`
    const gang = gangs.get(key) ?? { key, members: new Set(), hasBegun: false }
    gangs.set(key, gang)
    run.gang = gang
    run.member = { run }
    gang.members.add(run.member)
    if (gang.members.size === size) {
      gang.hasBegun = true
      for (const { run: member } of gang.members) {
        clearTimeout(member.timer)
        member.isAtWork = true
      }
    } else run.timer = setTimeout(() => this._endRun(run, 'alone'), gangTimeoutMs)
  }

  _leaveGang (run, how) {
    const { gang } = run
    if (gang === undefined || !gang.members.delete(run.member) || !gang.hasBegun) return
    for (const { run: other } of [...gang.members]) other.worker._endRun(other, how)
  }

  _endRun (run, how) {
    if (this._runs.get(run.task) !== run) return
    clearTimeout(run.timer)
    this._runs.delete(run.task)
    this._highestRuns.set(run.task, Math.max(run.number, this._highestRuns.get(run.task) ?? 0))
    this._ended.push([++this._endCount, run.task, run.number, how, ''])
    this._record('run ended', { task: run.task, run: run.number, how })
    this._leaveGang(run, how === 'done' ? 'done' : 'broken')
    for (const wake of [...this._waiting]) wake()
  }

  _record (what, fields) {
    this._options.record(what, { worker: this.id, ...fields })
  }
}
