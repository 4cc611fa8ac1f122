/**
 * Guards against the end of the planning process in review case 14: its agent held a request and a timer for each of thousands of starts, some 7 KB each, and
 * ended for want of memory, although the store took everything.
 */
import type { HoldResult, RunOutcome, RunWorker } from '@dragonflylever/adapters'
import type { WorkerOrders } from '@dragonflylever/core/graphs/index'
import { WorkerController } from '@dragonflylever/daemon/jobAgent/workerController'
import { createLogger } from '@dragonflylever/runtime'
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { makeAnnouncement } from './announcementFixture.js'

const ORDERS = 3_000
const CALL_MS = 2
/** Number of connections to a worker, of which its polls need one. */
const MAX_CALLS = 15
const OK: RunOutcome = { kind: 'ok', clockMs: 1 }

/** A worker that counts the calls in progress. */
class CountingWorker implements RunWorker {
  maxActive = 0
  starts = 0
  stops = 0
  answerStart: () => RunOutcome = () => OK
  private _active = 0

  start (): Promise<RunOutcome> {
    this.starts++
    return this._perform(() => this.answerStart())
  }

  stop (): Promise<RunOutcome> {
    this.stops++
    return this._perform(() => OK)
  }

  pace (): Promise<RunOutcome> {
    return this._perform(() => OK)
  }

  async hold ({ waitMs }: { readonly waitMs: number }): Promise<RunOutcome<HoldResult>> {
    await new Promise(resolve => setTimeout(resolve, Math.max(5, waitMs)))
    return { kind: 'ok', clockMs: 1, born: 1, running: [], ended: [] }
  }

  close (): void {}

  private async _perform (answer: () => RunOutcome): Promise<RunOutcome> {
    this.maxActive = Math.max(this.maxActive, ++this._active)
    await new Promise(resolve => setTimeout(resolve, CALL_MS))
    this._active--
    return answer()
  }
}

async function createController (t: ExecutionContext, worker: RunWorker): Promise<{ readonly controller: WorkerController, readonly clock: Clock }> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  const controller = new WorkerController(makeAnnouncement(), { worker, region: 'r', logger: createLogger({ level: 'silent', processId: 't' }), runLeaseMs: 6_000, epoch: 0, listRecentCrashes: () => [], onChange: () => {}, onOtherIncarnation: () => {} })
  t.teardown(() => {
    controller.close()
    clock.uninstall()
  })
  await clock.tickAsync(50)
  return { controller, clock }
}

function makeOrders (given: Partial<WorkerOrders>): WorkerOrders {
  return { key: { id: 'w', born: 1 }, mayExtend: true, seen: 0, starts: [], stops: [], paces: [], ...given }
}

function makeStarts (count: number): WorkerOrders['starts'] {
  return Array.from({ length: count }, (_, index) => ({ task: `j.0.0.${index}`, run: 1, payload: '', checkpoint: '', ticket: undefined }))
}

test.serial('thousands of starts, stops and throttles reach a worker with few calls at a time', async t => {
  const worker = new CountingWorker()
  const { controller, clock } = await createController(t, worker)
  const stops = Array.from({ length: ORDERS }, (_, index) => ({ task: `k.0.0.${index}`, run: 1 }))
  controller.applyOrders(makeOrders({ starts: makeStarts(ORDERS), stops, paces: stops.map(stop => ({ ...stop, percent: 50 })) }), 1, { clockMs: 0, number: 1 })
  await clock.tickAsync(5_000)
  t.is(worker.starts, ORDERS)
  t.is(worker.stops, ORDERS)
  t.true(worker.maxActive <= MAX_CALLS, `${worker.maxActive} calls at a time`)
})

test.serial('a stop does not wait for thousands of starts, and a start that was not answered does not hold up the others', async t => {
  const worker = new CountingWorker()
  let isFirst = true
  worker.answerStart = () => {
    const outcome: RunOutcome = isFirst ? { kind: 'lost', message: 'no answer' } : OK
    isFirst = false
    return outcome
  }
  const { controller, clock } = await createController(t, worker)
  controller.applyOrders(makeOrders({ starts: makeStarts(ORDERS) }), 1, { clockMs: 0, number: 1 })
  controller.applyOrders(makeOrders({ stops: [{ task: 'k.0.0.0', run: 1 }] }), 1, { clockMs: 0, number: 2 })
  await clock.tickAsync(10)
  t.is(worker.stops, 1)
  await clock.tickAsync(5_000)
  t.is(worker.starts, ORDERS + 1)
  t.true(controller.makeReport().orders.every(({ status }) => status === 'accepted' || status === 'barred'))
})
