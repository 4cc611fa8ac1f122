/**
 * State of the worker stand-in: resources, tasks under leases, faults and a record of all runs. In memory, without I/O.
 */
import { TaskState, isHoldingResources } from '@dragonflylever/adapters'
import type { TaskOrder, TaskReport, TaskShape, WorkerOutcome } from '@dragonflylever/adapters'

/** Faults that the worker injects at present. */
export interface WorkerFaults {
  /** While true, each task fails shortly after its start. */
  failsEverything: boolean
  /** While true, tasks run until they are stopped or their lease expires. */
  hangs: boolean
  /** While true, a stop is answered with success, but the task keeps running. */
  ignoresStop: boolean
  /** Duration of a checkpoint in milliseconds. */
  checkpointMs: number
  /** Number of orders that will take effect but whose answers will be lost. */
  loseAnswers: number
}

/** Record of one run of a task. */
export interface TaskRun {
  readonly taskId: string
  readonly jobId: string
  readonly incarnation: number
  readonly startedAt: number
  endedAt: number | undefined
}

interface Task {
  readonly order: TaskOrder
  state: TaskState
  ranMs: number
  runTimeUpdatedAt: number
  speed: number
  checkpoint: string
  message: string
  leaseEndsAt: number
  run: TaskRun | undefined
}

const FAIL_AFTER_MS = 20
const DEFAULT_RUN_MS = 1_000

export class WorkerEngine {
  readonly faults: WorkerFaults = { failsEverything: false, hangs: false, ignoresStop: false, checkpointMs: 0, loseAnswers: 0 }
  /** All runs of tasks since the start, in the order in which they were started. */
  readonly runs: TaskRun[] = []
  private readonly _capacity: TaskShape
  private readonly _tasks = new Map<string, Task>()

  constructor (capacity: TaskShape) {
    this._capacity = capacity
  }

  /** Sum of the resources of all tasks that are prepared or running. */
  get used (): TaskShape {
    const held = [...this._tasks.values()].filter(task => isHoldingResources(task.state)).map(task => task.order.shape)
    return held.reduce(addTaskShapes, { accelerators: 0, cores: 0, memoryGb: 0 })
  }

  prepare (order: TaskOrder): WorkerOutcome {
    this.advance()
    if (this._tasks.has(order.taskId)) return { kind: 'ok' }
    if (!isWithinCapacity(addTaskShapes(this.used, order.shape), this._capacity)) return { kind: 'refused', message: 'the worker has no room for the task' }
    const now = performance.now()
    this._tasks.set(order.taskId, {
      order,
      state: TaskState.prepared,
      ranMs: 0,
      runTimeUpdatedAt: now,
      speed: 1,
      checkpoint: order.checkpoint,
      message: '',
      leaseEndsAt: now + order.leaseMs,
      run: undefined
    })
    return { kind: 'ok' }
  }

  start (taskId: string): WorkerOutcome {
    this.advance()
    const task = this._tasks.get(taskId)
    if (task === undefined) return refuseUnknownTask(taskId)
    if (task.state === TaskState.running) return { kind: 'ok' }
    if (task.state !== TaskState.prepared) return { kind: 'refused', message: `task ${taskId} is ${task.state}` }
    task.state = TaskState.running
    task.runTimeUpdatedAt = performance.now()
    task.run = { taskId, jobId: task.order.jobId, incarnation: task.order.incarnation, startedAt: task.runTimeUpdatedAt, endedAt: undefined }
    this.runs.push(task.run)
    return { kind: 'ok' }
  }

  renew (taskId: string): WorkerOutcome {
    this.advance()
    const task = this._tasks.get(taskId)
    if (task === undefined || !isHoldingResources(task.state)) return refuseUnknownTask(taskId)
    task.leaseEndsAt = performance.now() + task.order.leaseMs
    return { kind: 'ok' }
  }

  /** Saves the run time done so far as the checkpoint of a running task. */
  checkpoint (taskId: string): WorkerOutcome<{ checkpoint: string }> {
    this.advance()
    const task = this._tasks.get(taskId)
    if (task === undefined || task.state !== TaskState.running) return refuseUnknownTask(taskId)
    task.checkpoint = String(computeDoneMs(task))
    return { kind: 'ok', checkpoint: task.checkpoint }
  }

  throttle (taskId: string, share: number): WorkerOutcome {
    this.advance()
    const task = this._tasks.get(taskId)
    if (task === undefined) return refuseUnknownTask(taskId)
    task.speed = share
    return { kind: 'ok' }
  }

  stop (taskId: string): WorkerOutcome {
    this.advance()
    const task = this._tasks.get(taskId)
    if (task !== undefined && isHoldingResources(task.state) && !this.faults.ignoresStop) this._endTask(task, TaskState.stopped, 'stopped')
    return { kind: 'ok' }
  }

  list (): TaskReport[] {
    this.advance()
    return [...this._tasks.values()].map(task => ({
      taskId: task.order.taskId,
      jobId: task.order.jobId,
      incarnation: task.order.incarnation,
      state: task.state,
      ranMs: task.ranMs,
      checkpoint: task.checkpoint,
      message: task.message
    }))
  }

  /** Updates all tasks to the current time: adds run time, and ends the tasks that are complete or whose lease has expired. */
  advance (): void {
    const now = performance.now()
    for (const task of this._tasks.values()) {
      if (!isHoldingResources(task.state)) continue
      this._updateRunTime(task, now)
      if (task.leaseEndsAt <= now) this._endTask(task, TaskState.expired, 'the lease lapsed')
      else if (task.state === TaskState.running) this._advanceRunning(task)
    }
  }

  private _updateRunTime (task: Task, now: number): void {
    if (task.state === TaskState.running) task.ranMs += (now - task.runTimeUpdatedAt) * task.speed
    task.runTimeUpdatedAt = now
  }

  private _advanceRunning (task: Task): void {
    if (this.faults.failsEverything && task.ranMs >= FAIL_AFTER_MS) this._endTask(task, TaskState.failed, 'the worker fails everything')
    else if (!this.faults.hangs && computeDoneMs(task) >= parseRunMs(task.order)) this._endTask(task, TaskState.done, 'done')
  }

  private _endTask (task: Task, state: TaskState, message: string): void {
    task.state = state
    task.message = message
    if (task.run !== undefined) task.run.endedAt = performance.now()
  }
}

function parseRunMs (order: TaskOrder): number {
  try {
    const { runMs } = JSON.parse(order.payload) as { runMs?: number }
    return runMs ?? DEFAULT_RUN_MS
  } catch {
    return DEFAULT_RUN_MS
  }
}

function computeDoneMs (task: Task): number {
  return Number(task.order.checkpoint === '' ? 0 : task.order.checkpoint) + task.ranMs
}

function addTaskShapes (a: TaskShape, b: TaskShape): TaskShape {
  return { accelerators: a.accelerators + b.accelerators, cores: a.cores + b.cores, memoryGb: a.memoryGb + b.memoryGb }
}

function isWithinCapacity (used: TaskShape, capacity: TaskShape): boolean {
  return used.accelerators <= capacity.accelerators && used.cores <= capacity.cores && used.memoryGb <= capacity.memoryGb
}

function refuseUnknownTask (taskId: string): { kind: 'refused', message: string } {
  return { kind: 'refused', message: `the worker has no live task ${taskId}` }
}
