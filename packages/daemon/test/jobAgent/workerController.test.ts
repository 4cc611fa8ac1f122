/**
 * The controller of a worker: what it reports about orders whose outcome is uncertain, and how it limits leases.
 */
import { setTimeout as sleep } from 'node:timers/promises'

import type { HoldRequest, HoldResult, RunOutcome, RunStartRequest, RunWorker } from '@dragonflylever/adapters'
import type { OrderListing, WorkerOrders } from '@dragonflylever/core/graphs/index'
import { StartValidity } from '@dragonflylever/daemon/jobAgent/startValidity'
import { WorkerController } from '@dragonflylever/daemon/jobAgent/workerController'
import { createLogger, readClocks } from '@dragonflylever/runtime'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { makeAnnouncement } from './announcementFixture.js'

/** A worker whose answers are set by the test. */
class ScriptedWorker implements RunWorker {
  starts: RunStartRequest[] = []
  stops = 0
  answerStart: (start: RunStartRequest) => RunOutcome = () => ({ kind: 'ok', clockMs: 1 })
  lists: HoldResult = { born: 1, running: [], ended: [] }
  /** Outcome of each poll, if connections to the worker fail; undefined if they succeed. */
  failure: Extract<RunOutcome, { kind: 'notSent' }> | undefined

  async start (start: RunStartRequest): Promise<RunOutcome> {
    this.starts.push(start)
    return this.answerStart(start)
  }

  async stop (): Promise<RunOutcome> {
    this.stops++
    return { kind: 'ok', clockMs: 1 }
  }

  async hold (request: HoldRequest): Promise<RunOutcome<HoldResult>> {
    await sleep(Math.min(20, request.waitMs))
    if (this.failure !== undefined) return this.failure
    return { kind: 'ok', clockMs: 1, ...this.lists }
  }

  async pace (): Promise<RunOutcome> {
    return { kind: 'ok', clockMs: 1 }
  }

  close (): void {}
}

function createController (t: ExecutionContext, worker: RunWorker, onOtherIncarnation = (): void => {}): WorkerController {
  const controller = new WorkerController(makeAnnouncement(), { worker, region: 'r', logger: createLogger({ level: 'silent', processId: 't' }), runLeaseMs: 6_000, epoch: 0, listRecentCrashes: () => [], onChange: () => {}, onOtherIncarnation })
  t.teardown(() => controller.close())
  return controller
}

function makeOrders (given: Partial<WorkerOrders>): WorkerOrders {
  return { key: { id: 'w', born: 1 }, mayExtend: true, seen: 0, starts: [], stops: [], paces: [], ...given }
}

async function waitForOrder (controller: WorkerController, isWanted: (order: OrderListing) => boolean): Promise<OrderListing> {
  for (;;) {
    const found = controller.makeReport().orders.find(isWanted)
    if (found !== undefined) return found
    await sleep(5)
  }
}

const START = { task: 'j.0.0.0', run: 1, payload: '', checkpoint: '', ticket: undefined }

test('a run whose start is refused as old is stopped and reported as barred after the next poll, never as refused', async t => {
  const worker = new ScriptedWorker()
  worker.answerStart = () => ({ kind: 'refused', reason: 'old', clockMs: 1 })
  const controller = createController(t, worker)
  controller.applyOrders(makeOrders({ starts: [START] }), 1, { clockMs: 0, number: 1 })
  const order = await waitForOrder(controller, one => one.status === 'refused' || one.status === 'barred')
  t.is(order.status, 'barred')
  t.is(worker.stops, 1)
})

test('an unanswered start is retried with the same run number, and if the retry is refused, the run is stopped and reported as barred', async t => {
  const worker = new ScriptedWorker()
  worker.answerStart = () => worker.starts.length === 1 ? { kind: 'lost', message: 'x' } : { kind: 'refused', reason: 'room', clockMs: 1 }
  const controller = createController(t, worker)
  controller.applyOrders(makeOrders({ starts: [START] }), 1, { clockMs: 0, number: 1 })
  t.is((await waitForOrder(controller, one => one.status !== 'sending' && one.status !== 'stopping')).status, 'barred')
  t.deepEqual(worker.starts.map(start => start.run), [1, 1])
})

test('a start that the worker refuses at the first attempt is reported as refused, and a successful start as accepted', async t => {
  const worker = new ScriptedWorker()
  worker.answerStart = start => start.run === 1 ? { kind: 'refused', reason: 'room', clockMs: 1 } : { kind: 'ok', clockMs: 1 }
  const controller = createController(t, worker)
  controller.applyOrders(makeOrders({ starts: [START, { ...START, task: 'j.0.0.1', run: 2 }] }), 1, { clockMs: 0, number: 1 })
  t.is((await waitForOrder(controller, one => one.run === 1 && one.status !== 'sending')).status, 'refused')
  t.is((await waitForOrder(controller, one => one.run === 2 && one.status !== 'sending')).status, 'accepted')
})

test('orders of a planner with an older epoch are ignored', async t => {
  const worker = new ScriptedWorker()
  const controller = createController(t, worker)
  controller.applyOrders(makeOrders({}), 5, { clockMs: 0, number: 1 })
  controller.applyOrders(makeOrders({ starts: [START] }), 4, { clockMs: 0, number: 1 })
  await sleep(30)
  t.is(worker.starts.length, 0)
})

test('while the planner does not permit lease extensions, the lease is not extended beyond the time permitted earlier', async t => {
  const worker = new ScriptedWorker()
  const controller = createController(t, worker)
  controller.applyOrders(makeOrders({}), 1, { clockMs: 1_000, number: 1 })
  controller.applyOrders(makeOrders({ mayExtend: false, starts: [START] }), 1, { clockMs: 9_000, number: 1 })
  await waitForOrder(controller, one => one.status === 'accepted')
  t.is(worker.starts[0]?.leaseUntil, 7_000)
})

test('a worker that announced its shutdown counts as ended once connections to its address are refused, not while it is only slow', async t => {
  const worker = new ScriptedWorker()
  const controller = createController(t, worker)
  controller.markLeaving()
  worker.failure = { kind: 'notSent', message: 'no answer within 1,700 ms', isRefused: false }
  await sleep(400)
  t.false(controller.isOver)
  worker.failure = { kind: 'notSent', message: 'connect ECONNREFUSED', isRefused: true }
  await sleep(400)
  t.true(controller.isOver)
})

test('a controller that has just started reports that an unreachable worker may still hold a lease from an earlier process of the agent', async t => {
  const worker = new ScriptedWorker()
  worker.failure = { kind: 'notSent', message: 'no connection', isRefused: false }
  const controller = createController(t, worker)
  await sleep(600)
  const report = controller.makeReport()
  t.false(report.isReachable)
  // 6 s at most, less the 0.6 s since the start; the bound leaves room for late timers.
  t.true(report.leaseLeftMs > 3_000 && report.leaseLeftMs <= 6_000, `${report.leaseLeftMs} ms`)
})

test('a start is not sent to the incarnation that follows a crash under the same id', async t => {
  const worker = new ScriptedWorker()
  worker.failure = { kind: 'notSent', message: 'connection refused', isRefused: true }
  worker.answerStart = () => worker.failure ?? { kind: 'ok', clockMs: 1 }
  let hasChanged = false
  const controller = createController(t, worker, () => {
    hasChanged = true
    controller.close()
  })
  controller.applyOrders(makeOrders({ starts: [START] }), 1, { clockMs: 0, number: 1 })
  await sleep(150)
  const startsBefore = worker.starts.length
  worker.lists = { born: 2, running: [], ended: [] }
  worker.failure = undefined
  await sleep(500)
  t.true(hasChanged)
  t.is(worker.starts.length, startsBefore)
})

test('a grant for a report that was made before the worker was reported unreachable is ignored, since the planner counts on the lease in the later report', async t => {
  const worker = new ScriptedWorker()
  const controller = createController(t, worker)
  await sleep(50)
  controller.makeReport()
  const base = { clockMs: 100_000, number: controller.reportNumber }
  worker.failure = { kind: 'notSent', message: 'no connection', isRefused: false }
  while (controller.isReachable) await sleep(5)
  t.false(controller.makeReport().isReachable)
  // The planner's answer to the earlier report was on its way when the later report was made.
  controller.applyOrders(makeOrders({ starts: [START] }), 1, base)
  t.true(controller.makeReport().leaseLeftMs <= 6_000)
  worker.failure = undefined
  await sleep(600)
  t.true(controller.isReachable)
  t.deepEqual(worker.starts, [])
  controller.makeReport()
  controller.applyOrders(makeOrders({ starts: [START] }), 1, { clockMs: controller.readClock(), number: controller.reportNumber })
  await waitForOrder(controller, one => one.status === 'accepted')
})

/** Makes the validity of starts in an answer that the planner made `ageMs` ago, by the clock that is named. */
function makeValidity (clock: 'monotonicMs' | 'wallMs', ageMs: number): StartValidity {
  const now = readClocks()
  return new StartValidity({ ...now, [clock]: now[clock] - ageMs }, 2_000)
}

for (const clock of ['monotonicMs', 'wallMs'] as const) {
  test(`a start whose order is too old by one of the clocks is not sent and reported as refused: ${clock}`, async t => {
    const worker = new ScriptedWorker()
    const controller = createController(t, worker)
    controller.applyOrders(makeOrders({ starts: [START] }), 1, { clockMs: 0, number: 1 }, makeValidity(clock, 2_001))
    t.like(await waitForOrder(controller, one => one.status !== 'sending'), { status: 'refused', reason: 'expired' })
    t.deepEqual(worker.starts, [])
    controller.applyOrders(makeOrders({ starts: [{ ...START, run: 2 }] }), 1, { clockMs: 0, number: 1 }, makeValidity(clock, 1_000))
    t.is((await waitForOrder(controller, one => one.run === 2 && one.status !== 'sending')).status, 'accepted')
  })
}

test('a start is not sent once its order has become too old while the agent waited for the worker to answer', async t => {
  const worker = new ScriptedWorker()
  worker.failure = { kind: 'notSent', message: 'no connection', isRefused: false }
  const controller = createController(t, worker)
  await sleep(50)
  controller.applyOrders(makeOrders({ starts: [START] }), 1, { clockMs: 0, number: 1 }, makeValidity('monotonicMs', 1_900))
  await sleep(300)
  worker.failure = undefined
  t.like(await waitForOrder(controller, one => one.status !== 'sending'), { status: 'refused', reason: 'expired' })
  t.deepEqual(worker.starts, [])
})

test('an unanswered start is not repeated once its order has become too old; the run is stopped, since the worker may have started it', async t => {
  const worker = new ScriptedWorker()
  worker.answerStart = () => ({ kind: 'lost', message: 'x' })
  const controller = createController(t, worker)
  controller.applyOrders(makeOrders({ starts: [START] }), 1, { clockMs: 0, number: 1 }, makeValidity('monotonicMs', 1_850))
  t.like(await waitForOrder(controller, one => one.status === 'barred' || one.status === 'refused'), { status: 'barred', reason: 'expired' })
  t.true(worker.starts.length >= 1 && worker.starts.length <= 2)
  t.is(worker.stops, 1)
})

test('the report names the speed of a run that was listed with growing progress', async t => {
  const worker = new ScriptedWorker()
  let clockMs = 0
  worker.hold = async () => {
    await sleep(5)
    clockMs += 1_000
    return { kind: 'ok', clockMs, born: 1, running: [{ task: 'j.0.0.0', run: 1, checkpoint: '', percent: Math.min(99, Math.floor(clockMs / 40)), usage: 0 }], ended: [] }
  }
  const controller = createController(t, worker)
  while (controller.makeReport().running[0]?.percent !== 99) await sleep(5)
  t.is(controller.makeReport().running[0]?.msPerPercent, 40)
})

// Guards against the cause of review case 14: the record of a part of a job holds the checkpoints of its tasks, and the store refuses one that is too large.
test('a checkpoint that is too long to be stored is left out, and others are reported as they are', async t => {
  const worker = new ScriptedWorker()
  const long = '\u0001'.repeat(171)
  worker.lists = { born: 1, running: [{ task: 'j.0.0.0', run: 1, checkpoint: long, percent: 1, usage: 0 }, { task: 'j.0.0.1', run: 1, checkpoint: 'c'.repeat(1_000), percent: 1, usage: 0 }], ended: [{ number: 1, task: 'j.0.0.2', run: 1, how: 'stopped', checkpoint: long }] }
  const controller = createController(t, worker)
  while (controller.makeReport().running.length === 0) await sleep(5)
  const { running, ended } = controller.makeReport()
  t.deepEqual([...running, ...ended].map(({ checkpoint }) => checkpoint), ['', 'c'.repeat(1_000), ''])
})
