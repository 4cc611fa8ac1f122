/**
 * A seeded random load of gangs on workers of known speeds, replayed into {@link WorkerSpeeds} as agents would measure it: each worker lists the progress of its
 * runs in whole percent about once a second.
 */
import { WorkerSpeeds, WorkerState, addOccurrence, createJobState, createRun } from '@dragonflylever/core/graphs/index'
import type { JobGraph, RunState, StepSpec, WorkerReport } from '@dragonflylever/core/graphs/index'
import { SeededRandom } from '@dragonflylever/core/random'

import { makeQueue, makeStep } from './plannerHarness.js'

/** Parameters of a load. */
export interface SpeedLoadOptions {
  readonly seed: number
  readonly workers: number
  /** Factors of the workers, dealt out in turn. */
  readonly factors: readonly number[]
  /** Gangs that begin each second, and how long each works at workers of middle speed, in milliseconds. */
  readonly gangsPerSecond: number
  readonly gangMs: number
  /** Standard deviation of the logarithm of a member's own share of the work. */
  readonly memberDeviation: number
  /** Mean time between slowdowns of one worker, in milliseconds; Infinity for none. */
  readonly slowdownIntervalMs: number
  /** Share of members that take seven times as long. */
  readonly longShare: number
  /** Time from which the members of a gang are all placed on workers with the same factor, in milliseconds. */
  readonly sortedFrom: number
}

export const SPEED_LOAD: SpeedLoadOptions = { seed: 1, workers: 60, factors: [0.63, 1, 1.6], gangsPerSecond: 1, gangMs: 3_000, memberDeviation: 0.03, slowdownIntervalMs: 120_000, longShare: 0.03, sortedFrom: Infinity }

const TICK_MS = 50
const LIST_INTERVAL_MS = 1_000
const LONG_FACTOR = 7
const MIN_SLOWDOWN_FACTOR = 4
const MAX_SLOWDOWN_FACTOR = 8
const MAX_SLOWDOWN_MS = 8_000

interface LoadedWorker {
  readonly state: WorkerState
  readonly factor: number
  readonly listPhaseMs: number
  slowUntil: number
  slowFactor: number
}

interface LoadedRun {
  readonly run: RunState
  readonly worker: LoadedWorker
  /** Work of the run at a worker of middle speed, in milliseconds. */
  readonly workMs: number
  doneMs: number
  first: { readonly percent: number, readonly at: number } | undefined
}

export class SpeedLoad {
  readonly speeds: WorkerSpeeds
  readonly notes: string[] = []
  now = 0
  private readonly _options: SpeedLoadOptions
  private readonly _random: SeededRandom
  private readonly _workers: LoadedWorker[] = []
  private readonly _gangs = new Set<LoadedRun[]>()
  private _gangCount = 0

  constructor (options: SpeedLoadOptions) {
    this._options = options
    this._random = new SeededRandom(options.seed)
    this.speeds = new WorkerSpeeds({ log: { note: event => { this.notes.push(event) } }, getWorker: key => this._workers.find(({ state }) => state.key.id === key.id)?.state })
    for (let index = 0; index < options.workers; index++) this._workers.push(this._makeWorker(index))
  }

  /** Replays the load for a time. `onTick` is called at each step of the time. */
  run (ms: number, onTick = (): void => {}): void {
    for (const end = this.now + ms; this.now < end; this.now += TICK_MS) {
      for (const worker of this._workers) this._updateSlowdown(worker)
      if (this._random.sample() < this._options.gangsPerSecond * TICK_MS / 1_000) this._startGang()
      for (const gang of this._gangs) this._advanceGang(gang)
      onTick()
    }
  }

  /** Returns the differences between the logarithms of the fitted and the true factors, freed from their mean. */
  computeErrors (): number[] {
    const errors = this._workers.map(({ state, factor }) => Math.log(this.speeds.getFactor(state.key.id, this.now) / factor))
    const mean = errors.reduce((sum, error) => sum + error, 0) / errors.length
    return errors.map(error => error - mean)
  }

  private _makeWorker (index: number): LoadedWorker {
    const state = new WorkerState({ id: `w${index}`, born: 1, address: `a${index}` }, Infinity)
    state.report = { rack: 'r' } as WorkerReport
    return { state, factor: this._options.factors[index % this._options.factors.length] ?? 1, listPhaseMs: this._random.pick(LIST_INTERVAL_MS / TICK_MS) * TICK_MS, slowUntil: 0, slowFactor: 1 }
  }

  private _updateSlowdown (worker: LoadedWorker): void {
    if (this.now < worker.slowUntil) return
    worker.slowFactor = 1
    if (this._random.sample() >= TICK_MS / this._options.slowdownIntervalMs) return
    worker.slowUntil = this.now + MAX_SLOWDOWN_MS * (0.25 + 0.75 * this._random.sample())
    worker.slowFactor = MIN_SLOWDOWN_FACTOR + (MAX_SLOWDOWN_FACTOR - MIN_SLOWDOWN_FACTOR) * this._random.sample()
  }

  private _startGang (): void {
    const count = 3 + this._random.pick(4)
    const kind = this._options.factors[this._random.pick(this._options.factors.length)]
    const pool = this._workers.filter(({ factor }) => this.now < this._options.sortedFrom || factor === kind)
    const step = makeStepState(`j${this._gangCount++}`, { count, isGang: true })
    const workMs = this._options.gangMs * (0.7 + 0.6 * this._random.sample())
    this._gangs.add(step.tasks.map(task => {
      const worker = pool.splice(this._random.pick(pool.length), 1)[0]
      if (worker === undefined) throw new Error('more members than workers')
      const run = createRun(task, 1, worker.state.key, 1, this.now, undefined)
      task.runs.push(run)
      const own = Math.exp(this._options.memberDeviation * this._sampleNormal()) * (this._random.sample() < this._options.longShare ? LONG_FACTOR : 1)
      return { run, worker, workMs: workMs * own, doneMs: 0, first: undefined }
    }))
  }

  private _advanceGang (gang: LoadedRun[]): void {
    for (const member of gang) this._advanceRun(member)
    if (gang.every(member => member.doneMs >= member.workMs)) this._gangs.delete(gang)
  }

  private _advanceRun (member: LoadedRun): void {
    const { worker, workMs, run } = member
    member.doneMs += TICK_MS / (worker.factor * worker.slowFactor)
    if ((this.now + worker.listPhaseMs) % LIST_INTERVAL_MS !== 0) return
    const percent = Math.floor(Math.min(99, member.doneMs / workMs * 100))
    if (percent >= 99 || percent <= run.percent) return
    run.percent = percent
    member.first ??= { percent, at: this.now }
    if (percent - member.first.percent >= 10) this.speeds.recordProgress(run, (this.now - member.first.at) / (percent - member.first.percent), this.now)
  }

  private _sampleNormal (): number {
    return Math.sqrt(-2 * Math.log(1 - this._random.sample())) * Math.cos(2 * Math.PI * this._random.sample())
  }
}

/** Creates the state of a step, the only one of its job. */
export function makeStepState (jobId: string, spec: Partial<StepSpec>): ReturnType<typeof addOccurrence>[number] {
  const graph: JobGraph = { id: jobId, organisation: 'o', queue: makeQueue(), payload: '', steps: [makeStep(spec)], acceptedAt: 0 }
  const [step] = addOccurrence(createJobState(graph, 0), 0)
  if (step === undefined) throw new Error('the job has no step')
  return step
}
