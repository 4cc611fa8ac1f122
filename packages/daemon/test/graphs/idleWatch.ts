/**
 * Watches a simulation for jobs that have no run although there is room. The requirements limit this to 3 s, from some time after the last job was accepted; for tasks that last, at any time.
 */
import { JobPhase } from '@dragonflylever/core/graphs/index'
import type { StepSpec, TaskNeeds } from '@dragonflylever/core/graphs/index'

import { CAPACITY } from './graphSimulation.js'
import type { GraphSimulation, SimulatedJob } from './graphSimulation.js'

/** Time for which a job may wait beside enough room, in milliseconds. */
const MAX_IDLE_MS = 3_000
/** The same for a task that lasts at any time: the time before has to be calm for a while. */
const MAX_IDLE_ANY_TIME_MS = 7_000
/** Time after the last job was accepted from which the rule holds for all jobs, in milliseconds. */
const FINISH_MS = 14_000
const CHECK_MS = 100
/** There must be room for the waiting work this many times over. */
const ROOM_FACTOR = 2

/** Options of {@link IdleWatch}. */
export interface IdleWatchOptions {
  /** True if there are no faults, so that the rule on tasks that last holds at any time. */
  readonly isCalm: boolean
}

/** A task that lasts, or a job, and what could run of it. */
interface Waiting {
  readonly name: string
  readonly specs: readonly StepSpec[]
  readonly isLasting: boolean
}

export class IdleWatch {
  readonly violations: string[] = []
  private readonly _simulation: GraphSimulation
  private readonly _jobs: readonly SimulatedJob[]
  private readonly _options: IdleWatchOptions
  /** When the room for waiting work was first seen, by name. */
  private readonly _idleSince = new Map<string, number>()
  private _finishedAt = Infinity
  private readonly _timer: NodeJS.Timeout

  /** Starts to watch; {@link IdleWatch.close} ends it. */
  constructor (simulation: GraphSimulation, jobs: readonly SimulatedJob[], options: IdleWatchOptions) {
    this._simulation = simulation
    this._jobs = jobs
    this._options = options
    this._timer = setInterval(() => this._check(), CHECK_MS)
  }

  /** Records that no more jobs will be submitted, and that all faults have ended. */
  endArrivals (): void {
    this._finishedAt = performance.now() + FINISH_MS
  }

  close (): void {
    clearInterval(this._timer)
  }

  private _check (): void {
    const now = performance.now()
    const free = this._listFree()
    const isMostlyFree = hasMostlyFree(free)
    const idle = this._jobs.flatMap(job => this._listWaiting(job)).filter(({ specs, isLasting }) => (isMostlyFree || isLasting) && specs.some(spec => hasRoom(free, spec)))
    const names = new Set(idle.map(({ name }) => name))
    for (const name of this._idleSince.keys()) if (!names.has(name)) this._idleSince.delete(name)
    for (const { name, isLasting } of idle) {
      const since = this._idleSince.get(name) ?? now
      this._idleSince.set(name, since)
      const isTooLong = now - Math.max(since, this._finishedAt) > MAX_IDLE_MS || (isLasting && this._options.isCalm && now - since > MAX_IDLE_ANY_TIME_MS)
      if (isTooLong) this._recordViolation(name, now - since, free)
    }
  }

  /** Lists the tasks of a job that last and have no run, or the job itself if it has none. */
  private _listWaiting ({ id, steps }: SimulatedJob): Waiting[] {
    const { checker, accepted, cancelled, states } = this._simulation
    const phase = states.get(id)?.phase
    if (!accepted.has(id) || cancelled.has(id) || (phase !== JobPhase.queued && phase !== JobPhase.running)) return []
    const isDone = (step: number): boolean => listTasks(id, step, steps[step]?.count ?? 0).every(task => checker.done.has(task))
    const due = [...steps.entries()].filter(([index, spec]) => !isDone(index) && spec.after.every(isDone))
    const lasting = due.filter(([, spec]) => spec.isLongRunning).flatMap(([index, spec]) => listTasks(id, index, spec.count).filter(task => !checker.isRunning(task)).map(name => ({ name, specs: [spec], isLasting: true })))
    return checker.countRunning(id) > 0 || due.length === 0 ? lasting : [...lasting, { name: id, specs: due.map(([, spec]) => spec), isLasting: false }]
  }

  private _listFree (): TaskNeeds[] {
    return Array.from({ length: this._simulation.size }, (_, index) => this._simulation.getWorker(index).computeFree())
  }

  private _recordViolation (name: string, ms: number, free: readonly TaskNeeds[]): void {
    this.violations.push(`${name} has had no run for ${Math.round(ms)} ms at ${Math.round(performance.now())} ms with free accelerators ${free.map(({ accelerators }) => accelerators).join(', ')}`)
    this._idleSince.delete(name)
  }
}

function listTasks (id: string, step: number, count: number): string[] {
  return Array.from({ length: count }, (_, number) => `${id}.0.${step}.${number}`)
}

function hasMostlyFree (free: readonly TaskNeeds[]): boolean {
  const kinds = ['cpuMillis', 'memoryMb', 'accelerators'] as const
  return kinds.every(kind => 2 * free.reduce((sum, one) => sum + one[kind], 0) > free.length * CAPACITY[kind])
}

/** True if a task of a step, or all of a gang, has room often enough. */
function hasRoom (free: readonly TaskNeeds[], { isGang, count, cpuMillis, memoryMb, accelerators }: StepSpec): boolean {
  const countFits = (one: TaskNeeds): number => Math.floor(Math.min(one.cpuMillis / cpuMillis, one.memoryMb / memoryMb, accelerators === 0 ? Infinity : one.accelerators / accelerators))
  return free.reduce((sum, one) => sum + countFits(one), 0) >= ROOM_FACTOR * (isGang ? count : 1)
}
