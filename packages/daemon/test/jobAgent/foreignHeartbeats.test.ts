/**
 * Guards against LOST of review case 12: heartbeats of another writer made an agent's reports so large that the planner refused them, and the sound worker
 * beside them got no orders.
 */
import type { HoldResult, RunOutcome, RunWorker } from '@dragonflylever/adapters'
import type { WorkerReport } from '@dragonflylever/core/graphs/index'
import { PlannerLink } from '@dragonflylever/daemon/jobAgent/plannerLink'
import type { WorkerAnnouncement } from '@dragonflylever/daemon/jobAgent/workerController'
import { WorkerTable } from '@dragonflylever/daemon/jobAgent/workerTable'
import { MAX_CALL_BYTES } from '@dragonflylever/protocol'
import type { PeerRpc } from '@dragonflylever/protocol'
import { ClientGuard, NoMetrics, RpcClient, RpcServer, closeServer, createLogger, openServer } from '@dragonflylever/runtime'
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { makeAnnouncement } from './announcementFixture.js'

const LOGGER = createLogger({ level: 'silent', processId: 't' })
const PLANNER = { duty: 'p', holder: 'b', address: 'b:1', epoch: 1 }
const OK: RunOutcome = { kind: 'ok', clockMs: 1 }
const FOREIGN_COUNT = 500
/** Limit that the requirements of this file set for what hundreds of foreign writers may add to a report, in bytes. */
const MAX_REPORT_BYTES = 512 * 1024

/** Makes an announcement with names of the length that many writers could give. */
function makeLongAnnouncement (id: string, address: string): WorkerAnnouncement {
  return makeAnnouncement({ id, address, service: 's'.repeat(200), labels: ['l'.repeat(200)] })
}

/** Creates a worker that answers polls if it is sound, and can't be reached otherwise. */
function createWorker (isSound: boolean): RunWorker {
  return {
    start: async () => OK,
    stop: async () => OK,
    pace: async () => OK,
    hold: async ({ waitMs }): Promise<RunOutcome<HoldResult>> => {
      await new Promise(resolve => setTimeout(resolve, Math.max(5, waitMs)))
      return isSound ? { kind: 'ok', clockMs: 1, born: 1, running: [], ended: [] } : { kind: 'notSent', message: 'refused', isRefused: true }
    },
    close: () => {}
  }
}

function installClock (t: ExecutionContext): Clock {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  return clock
}

function createTable (t: ExecutionContext): { readonly table: WorkerTable, readonly countOpen: () => number } {
  let open = 0
  const table = new WorkerTable({
    region: 'r',
    runLeaseMs: 6_000,
    logger: LOGGER,
    openWorker: ({ id }) => {
      open++
      return { ...createWorker(id.startsWith('sound')), close: () => { open-- } }
    },
    onChange: () => {}
  })
  t.teardown(() => table.close())
  return { table, countOpen: () => open }
}

function createReport (id: string, listings = 0): WorkerReport {
  const running = Array.from({ length: listings }, (_, index) => ({ task: `5c0e7a21d94b36f8.0.0.${index}`, run: 1, checkpoint: 'c'.repeat(100), percent: 1, usage: 1 }))
  return { key: { id, born: 1 }, address: 'a:1', service: 's', rack: 'r', labels: [], failureDomain: 'd', region: 'r', capacity: { cpuMillis: 1, memoryMb: 1, accelerators: 1 }, isDraining: false, drainLeftMs: undefined, isOver: false, isReachable: true, leaseLeftMs: 1, listNumber: 1, running, ended: [], orders: [], crashes: [] }
}

/** Opens a link that reports the given workers; returns the ids and the flags of the reports of each call that the planner accepted. */
function openLink (t: ExecutionContext, reports: readonly WorkerReport[], isAcceptable: (params: { readonly reports: readonly WorkerReport[] }) => boolean): WorkerReport[][] {
  const accepted: WorkerReport[][] = []
  const call = async (_address: string, _method: string, params: { readonly reports: readonly WorkerReport[] }): Promise<unknown> => {
    await new Promise(resolve => setTimeout(resolve, 10))
    if (!isAcceptable(params)) return { kind: 'failed', message: 'refused with 413', isRefused: true }
    accepted.push([...params.reports])
    return { kind: 'ok', value: { epoch: 1, orders: [] } }
  }
  const link = new PlannerLink({ peers: { call } as unknown as PeerRpc, agent: 'a', address: 'a:1', start: 's', logger: LOGGER, metrics: new NoMetrics(), getPlanner: () => PLANNER, collectReports: () => ({ reports, bases: new Map() }), applyOrders: () => {} })
  t.teardown(() => link.close())
  return accepted
}

test.serial('of hundreds of announced workers that never answer few are in a report, and a sound worker announced before or after them is', async t => {
  const clock = installClock(t)
  const { table, countOpen } = createTable(t)
  table.acceptHeartbeat(makeLongAnnouncement('sound-1', '10.0.0.1:1'))
  await clock.tickAsync(100)
  for (let index = 0; index < FOREIGN_COUNT; index++) table.acceptHeartbeat(makeLongAnnouncement(`foreign-${index}`, `10.0.1.1:${index + 1}`))
  table.acceptHeartbeat(makeLongAnnouncement('sound-2', '10.0.0.2:1'))
  await clock.tickAsync(1_000)
  const { reports } = table.collectReports()
  t.deepEqual(reports.map(({ key }) => key.id).filter(id => id.startsWith('sound')), ['sound-1', 'sound-2'])
  t.true(reports.length <= 6)
  t.true(JSON.stringify(reports).length < MAX_REPORT_BYTES)
  t.true(countOpen() <= 64, 'what an agent keeps of announced workers is bounded')
})

test.serial('a worker that the planner refuses to hear of keeps no other worker from being reported', async t => {
  const clock = installClock(t)
  const reports = ['w-1', 'bad', 'w-2'].map(id => createReport(id))
  const accepted = openLink(t, reports, params => params.reports.every(({ key }) => key.id !== 'bad'))
  await clock.tickAsync(10_000)
  const ids = accepted.flat().map(({ key }) => key.id)
  t.true(ids.includes('w-1') && ids.includes('w-2'))
})

test.serial('reports that together exceed a call are sent in turns, and one that exceeds it alone is shortened and says so', async t => {
  const clock = installClock(t)
  const reports = [createReport('large', 20_000), createReport('w-1', 5_000), createReport('w-2', 5_000)]
  const accepted = openLink(t, reports, params => JSON.stringify(params).length < MAX_CALL_BYTES)
  await clock.tickAsync(5_000)
  const large = accepted.flat().filter(({ key }) => key.id === 'large')
  t.deepEqual(new Set(accepted.flat().map(({ key }) => key.id)), new Set(['large', 'w-1', 'w-2']))
  t.true(large.length > 1 && large.every(({ isPartial }) => isPartial === true))
})

test('a call that a process refuses for its size or its contents is told apart from one without an answer', async t => {
  const server = new RpcServer('key')
  server.add('plannerChanged', () => ({}))
  const guard = new ClientGuard({ metrics: new NoMetrics(), logger: LOGGER })
  const http = guard.createServer({ port: 'control', logger: LOGGER, handle: (request, response) => server.handle(request, response) })
  const address = await openServer(http, '127.0.0.1:0')
  const client = new RpcClient('key')
  t.teardown(async () => {
    await client.close()
    await closeServer(http)
  })
  t.like(await client.call(address, 'plannerChanged', { epoch: 1, address: 'a' }, 2_000), { kind: 'ok' })
  t.like(await client.call(address, 'plannerChanged', { epoch: 1, address: 'a'.repeat(MAX_CALL_BYTES) }, 2_000), { kind: 'failed', isRefused: true })
  t.like(await client.call(address, 'plannerChanged', { epoch: 0.5, address: 'a' }, 2_000), { kind: 'failed', isRefused: true })
  const unanswered = await client.call('127.0.0.1:1', 'plannerChanged', { epoch: 1, address: 'a' }, 2_000)
  t.true(unanswered.kind === 'failed' && unanswered.isRefused === undefined)
})
