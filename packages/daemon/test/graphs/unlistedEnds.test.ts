/**
 * Guards against TWICE of review case 11: runs whose ends a worker had not listed yet, as it lists a limited number at a time, were taken for runs that are
 * gone, and their tasks ran a second time. The workers of the simulation list three ends at a time.
 */
import type { HoldResult, RunOutcome, RunWorker } from '@dragonflylever/adapters'
import type { OrderListing, WorkerOrders } from '@dragonflylever/core/graphs/index'
import { WorkerController } from '@dragonflylever/daemon/jobAgent/workerController'
import { createLogger } from '@dragonflylever/runtime'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'

import { makeAnnouncement } from '../jobAgent/announcementFixture.js'
import { makeStep } from './graphSimulation.js'
import type { GraphSimulation, SimulatedJob } from './graphSimulation.js'
import { runScenario } from './runScenario.js'

const WORKERS = 4
const DURATION_MS = 4_000
const KILLED_MS = 1_000
/** Number of tasks; each worker lists its ends in some twenty turns. */
const TASKS = 240
const JOB: SimulatedJob = { id: '00000000000000c1', priority: 1, durationMs: DURATION_MS, failures: 0, steps: [makeStep({ count: TASKS, cpuMillis: 100, memoryMb: 100, accelerators: 0 })] }
/** Times of a fault before all tasks of the job end, in milliseconds. */
const OFFSETS_MS = [800, 500, 200, 50]

function findOther (simulation: GraphSimulation): number {
  return (simulation.findPlanner() + 1) % WORKERS
}

const FAULTS: ReadonlyArray<readonly [string, (simulation: GraphSimulation) => void]> = [
  ['an agent that is not the planner is killed', simulation => simulation.restartNode(findOther(simulation), KILLED_MS)],
  ['the planner is killed', simulation => simulation.restartNode(simulation.findPlanner(), KILLED_MS)],
  ['the planner and another agent are killed', simulation => {
    simulation.restartNode(findOther(simulation), KILLED_MS)
    simulation.restartNode(simulation.findPlanner(), KILLED_MS)
  }],
  ['the store is down, and an agent is killed', simulation => {
    simulation.setStoreDown(true)
    simulation.restartNode(findOther(simulation), KILLED_MS)
    setTimeout(() => simulation.setStoreDown(false), 2 * KILLED_MS)
  }],
  ['all agents are killed', simulation => { for (let index = 0; index < WORKERS; index++) simulation.restartNode(index, KILLED_MS) }]
]

for (const [title, cause] of FAULTS) {
  test.serial(`tasks whose ends a worker lists later run once: ${title} while more runs end than a worker lists at a time`, async t => {
    t.timeout(300_000)
    for (const offsetMs of OFFSETS_MS) {
      const { violations } = await runScenario(WORKERS, async (simulation, clock) => {
        void simulation.submit(JOB)
        await clock.tickAsync(DURATION_MS - offsetMs)
        cause(simulation)
        await clock.tickAsync(DURATION_MS)
      })
      t.deepEqual(violations, [], `${offsetMs} ms before the end`)
    }
  })
}

test.serial('an agent confirms the stop of a run only from a whole list of ends', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  t.teardown(() => clock.uninstall())
  const lists: HoldResult = { born: 1, running: [], ended: [{ number: 1, task: 'j.0.0.1', run: 1, how: 'done', checkpoint: '' }], hasMoreEnds: true }
  let list = lists
  const OK: RunOutcome = { kind: 'ok', clockMs: 1 }
  const worker: RunWorker = {
    start: async () => OK,
    stop: async () => OK,
    pace: async () => OK,
    hold: async ({ waitMs }) => {
      await new Promise(resolve => setTimeout(resolve, Math.max(5, waitMs)))
      return { kind: 'ok', clockMs: 1, ...list }
    },
    close: () => {}
  }
  const controller = new WorkerController(makeAnnouncement(), { worker, region: 'r', logger: createLogger({ level: 'silent', processId: 't' }), runLeaseMs: 6_000, epoch: 0, listRecentCrashes: () => [], onChange: () => {}, onOtherIncarnation: () => {} })
  t.teardown(() => controller.close())
  const orders: WorkerOrders = { key: { id: 'w', born: 1 }, mayExtend: true, seen: 0, starts: [], stops: [{ task: 'j.0.0.0', run: 1 }], paces: [] }
  const getStatus = (): OrderListing['status'] | undefined => controller.makeReport().orders[0]?.status
  await clock.tickAsync(50)
  controller.applyOrders(orders, 1, { clockMs: 0, number: 1 })
  await clock.tickAsync(3_000)
  t.is(getStatus(), 'stopping')
  t.true(controller.makeReport().hasMoreEnds)
  list = { ...lists, hasMoreEnds: false }
  await clock.tickAsync(1_000)
  t.is(getStatus(), 'barred')
})
