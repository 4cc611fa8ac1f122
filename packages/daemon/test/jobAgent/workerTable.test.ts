/**
 * Which workers an agent reports when heartbeats are lost, late, or come from an earlier incarnation.
 */
import type { HoldResult, RunOutcome, RunWorker } from '@dragonflylever/adapters'
import { StartRefusal } from '@dragonflylever/core/graphs/index'
import { WorkerTable } from '@dragonflylever/daemon/jobAgent/workerTable'
import { createLogger } from '@dragonflylever/runtime'
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { makeAnnouncement } from './announcementFixture.js'

type PollOutcome = RunOutcome<HoldResult>

const OK: RunOutcome = { kind: 'ok', clockMs: 1 }

function createWorker (poll: (epoch: number) => PollOutcome, answerOrder: () => RunOutcome): RunWorker {
  return {
    start: async () => answerOrder(),
    stop: async () => answerOrder(),
    pace: async () => OK,
    hold: async ({ epoch, waitMs }) => {
      await new Promise(resolve => setTimeout(resolve, Math.max(50, waitMs)))
      return poll(epoch)
    },
    close: () => {}
  }
}

interface TableOptions {
  readonly onChange?: () => void
  /** Answers the orders to start and stop runs; accepts them when absent. */
  readonly answerOrder?: () => RunOutcome
}

function createTable (t: ExecutionContext, poll: (epoch: number) => PollOutcome, { onChange = () => {}, answerOrder = () => OK }: TableOptions = {}): { readonly table: WorkerTable, readonly clock: Clock } {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  const table = new WorkerTable({ region: 'r', runLeaseMs: 6_000, logger: createLogger({ level: 'silent', processId: 't' }), openWorker: () => createWorker(poll, answerOrder), onChange })
  t.teardown(() => {
    table.close()
    clock.uninstall()
  })
  return { table, clock }
}

function listReported (table: WorkerTable): string[] {
  return table.collectReports().reports.map(report => `${report.key.id}/${report.key.born}`)
}

test.serial('a worker whose heartbeats are lost is still reported while it answers polls, and no longer once it is silent altogether', async t => {
  let outcome: PollOutcome = { kind: 'ok', clockMs: 1, born: 1, running: [], ended: [] }
  const { table, clock } = createTable(t, () => outcome)
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 1 }))
  await clock.tickAsync(60_000)
  t.deepEqual(listReported(table), ['w/1'])
  outcome = { kind: 'lost', message: 'no answer' }
  await clock.tickAsync(10_000)
  t.deepEqual(listReported(table), [])
})

test.serial('after a restart of the agent, a delayed heartbeat of a worker that has left brings back no worker', async t => {
  const { table, clock } = createTable(t, () => ({ kind: 'otherIncarnation' }))
  table.acceptHeartbeat(makeAnnouncement({ id: 'departed', born: 1 }))
  await clock.tickAsync(1_500)
  t.deepEqual(listReported(table), [])
})

test.serial('after a restart of the agent, a delayed heartbeat of an earlier life under the same id is replaced by the life that answers', async t => {
  const { table, clock } = createTable(t, () => ({ kind: 'ok', clockMs: 1, born: 2, running: [], ended: [] }))
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 1 }))
  await clock.tickAsync(1_500)
  t.deepEqual(listReported(table), [])
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 2 }))
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 1 }))
  await clock.tickAsync(1_500)
  t.deepEqual(listReported(table), ['w/2'])
})

/** Sends orders for the first run of a task to a worker of the table. */
function orderRun (table: WorkerTable, id: string, task: string, order: 'start' | 'stop'): void {
  const starts = order === 'start' ? [{ task, run: 1, payload: '', checkpoint: '', ticket: undefined }] : []
  const stops = order === 'stop' ? [{ task, run: 1 }] : []
  table.applyOrders([{ key: { id, born: 1 }, seen: 0, mayExtend: true, starts, stops, paces: [] }], 1, table.collectReports())
}

function orderStart (table: WorkerTable, id: string, task: string): void {
  orderRun(table, id, task, 'start')
}

function listSuspects (table: WorkerTable): string[] {
  return table.collectReports().reports.flatMap(report => report.crashes.flatMap(({ suspects }) => suspects.map(({ task, run }) => `${task}/${run}`)))
}

test.serial('only the runs that had just started when a worker stopped answering are reported as suspects of its crash, for a minute', async t => {
  let outcome: PollOutcome = { kind: 'ok', clockMs: 1, born: 1, running: [], ended: [] }
  const { table, clock } = createTable(t, () => outcome)
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 1 }))
  orderStart(table, 'w', 'early.0.0.0')
  await clock.tickAsync(1_500)
  orderStart(table, 'w', 'last.0.0.0')
  await clock.tickAsync(50)
  outcome = { kind: 'lost', message: 'connection closed' }
  await clock.tickAsync(3_000)
  t.deepEqual(listSuspects(table), [])
  outcome = { kind: 'ok', clockMs: 1, born: 2, running: [], ended: [] }
  table.acceptHeartbeat(makeAnnouncement({ id: 'other', born: 2 }))
  t.deepEqual(listSuspects(table), ['last.0.0.0/1'])
  await clock.tickAsync(61_000)
  t.deepEqual(listSuspects(table), [])
})

test.serial('a run whose start was never answered is a suspect of a crash that comes seconds later, until its stop is confirmed', async t => {
  const outcomes: { poll: PollOutcome, order: RunOutcome } = { poll: { kind: 'ok', clockMs: 1, born: 1, running: [], ended: [] }, order: { kind: 'lost', message: 'no answer' } }
  const { table, clock } = createTable(t, () => outcomes.poll, { answerOrder: () => outcomes.order })
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 1 }))
  for (const task of ['barred.0.0.0', 'late.0.0.0']) orderStart(table, 'w', task)
  await clock.tickAsync(500)
  outcomes.order = OK
  orderRun(table, 'w', 'barred.0.0.0', 'stop')
  outcomes.order = { kind: 'lost', message: 'no answer' }
  orderRun(table, 'w', 'late.0.0.0', 'stop')
  await clock.tickAsync(5_000)
  outcomes.poll = { kind: 'lost', message: 'connection closed' }
  await clock.tickAsync(3_000)
  table.acceptHeartbeat(makeAnnouncement({ id: 'other', born: 2 }))
  t.deepEqual(listSuspects(table), ['late.0.0.0/1'])
})

test.serial('a worker that was draining when it was replaced leaves no suspects', async t => {
  const { table, clock } = createTable(t, () => ({ kind: 'ok', clockMs: 1, born: 1, running: [], ended: [] }))
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 1 }))
  orderStart(table, 'w', 'a.0.0.0')
  await clock.tickAsync(50)
  table.acceptHeartbeat({ ...makeAnnouncement({ id: 'w', born: 1 }), isDraining: true, sequence: 2 })
  table.acceptHeartbeat(makeAnnouncement({ id: 'other', born: 2 }))
  t.deepEqual(listSuspects(table), [])
})

test.serial('a heartbeat with another capacity is reported to the planner at once, one with the same capacity is not', async t => {
  let changes = 0
  const { table, clock } = createTable(t, () => ({ kind: 'ok', clockMs: 1, born: 1, running: [], ended: [] }), { onChange: () => { changes++ } })
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 1 }))
  await clock.tickAsync(500)
  const changesBefore = changes
  table.acceptHeartbeat({ ...makeAnnouncement({ id: 'w', born: 1 }), sequence: 2 })
  t.is(changes, changesBefore)
  table.acceptHeartbeat({ ...makeAnnouncement({ id: 'w', born: 1 }), capacity: { cpuMillis: 1, memoryMb: 1, accelerators: 0 }, sequence: 3 })
  t.is(changes, changesBefore + 1)
  t.is(table.collectReports().reports[0]?.capacity.accelerators, 0)
})

test.serial('a heartbeat of another writer with a later start, under the id or at the address of a worker that answers, does not replace the worker', async t => {
  const outcomes: { poll: PollOutcome } = { poll: { kind: 'ok', clockMs: 1, born: 1, running: [], ended: [] } }
  const { table, clock } = createTable(t, () => outcomes.poll)
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 1 }))
  await clock.tickAsync(200)
  for (const odd of [makeAnnouncement({ id: 'w', born: 9 }), makeAnnouncement({ id: 'odd', born: 9 })]) {
    table.acceptHeartbeat({ ...odd, service: 'another' })
    t.deepEqual(listReported(table), ['w/1'])
    await clock.tickAsync(3_000)
    t.deepEqual(listReported(table), ['w/1'])
  }
  orderStart(table, 'w', 'a.0.0.0')
  table.acceptHeartbeat({ ...makeAnnouncement({ id: 'w', born: 1 }), sequence: 2 })
  await clock.tickAsync(200)
  t.like(table.collectReports().reports[0], { service: 's', orders: [{ task: 'a.0.0.0', status: 'accepted' }] })
})

test.serial('a worker that has restarted replaces its earlier incarnation as soon as it answers, without another heartbeat', async t => {
  const outcomes: { poll: PollOutcome } = { poll: { kind: 'ok', clockMs: 1, born: 1, running: [], ended: [] } }
  const { table, clock } = createTable(t, () => outcomes.poll)
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 1 }))
  await clock.tickAsync(200)
  outcomes.poll = { kind: 'ok', clockMs: 1, born: 2, running: [], ended: [] }
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 2 }))
  await clock.tickAsync(1_200)
  t.deepEqual(listReported(table), ['w/2'])
  outcomes.poll = { kind: 'lost', message: 'connection closed' }
  await clock.tickAsync(1_200)
  outcomes.poll = { kind: 'ok', clockMs: 1, born: 3, running: [], ended: [] }
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 3 }))
  t.deepEqual(listReported(table), ['w/3'])
})

test.serial('a worker that refuses polls below the epoch of the planner lists its runs once the agent has heard from the planner', async t => {
  const fenced: PollOutcome = { kind: 'refused', reason: StartRefusal.fenced, clockMs: 1 }
  const { table, clock } = createTable(t, epoch => epoch < 7 ? fenced : { kind: 'ok', clockMs: 1, born: 1, running: [], ended: [] })
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 1 }))
  await clock.tickAsync(1_000)
  t.is(table.collectReports().reports[0]?.listNumber, 0)
  table.applyOrders([], 7, table.collectReports())
  await clock.tickAsync(500)
  t.true((table.collectReports().reports[0]?.listNumber ?? 0) > 0)
  table.acceptHeartbeat(makeAnnouncement({ id: 'other', born: 2 }))
  await clock.tickAsync(500)
  t.deepEqual(listReported(table), ['w/1'])
})

test.serial('an announced worker that was ignored and never heard of again does not replace one that stops answering later', async t => {
  const outcomes: { poll: PollOutcome } = { poll: { kind: 'ok', clockMs: 1, born: 1, running: [], ended: [] } }
  const { table, clock } = createTable(t, () => outcomes.poll)
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 1 }))
  await clock.tickAsync(200)
  table.acceptHeartbeat(makeAnnouncement({ id: 'w', born: 9 }))
  await clock.tickAsync(6_000)
  outcomes.poll = { kind: 'lost', message: 'cut off' }
  await clock.tickAsync(3_000)
  t.deepEqual(listReported(table), ['w/1'])
})
