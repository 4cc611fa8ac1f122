/**
 * How old an answer of the planner counts as at the agent: from the time of the report, plus the time for which the planner held the answer back. The arrival
 * of an answer doesn't count, since the agent may have been suspended before it read it.
 */
import { PlannerLink } from '@dragonflylever/daemon/jobAgent/plannerLink'
import type { PeerRpc } from '@dragonflylever/protocol'
import { NoMetrics, createLogger, readClocks } from '@dragonflylever/runtime'
import type { ClockReading } from '@dragonflylever/runtime'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'

const PLANNER = { duty: 'p', holder: 'b', address: 'b:1', epoch: 1 }

for (const [title, heldMs, expectedMs] of [['the time for which the planner held it back is added', 600, 600], ['a planner that does not tell counts as having answered at once', undefined, 0]] as const) {
  test.serial(`an answer is as old as its report: ${title}`, async t => {
    const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] })
    t.teardown(() => clock.uninstall())
    const answers: ClockReading[] = []
    const call = async (): Promise<unknown> => {
      await new Promise(resolve => setTimeout(resolve, 1_500))
      return { kind: 'ok', value: { epoch: 1, orders: [], ...(heldMs === undefined ? {} : { heldMs }) } }
    }
    const startedAt = readClocks()
    const link = new PlannerLink({
      peers: { call } as unknown as PeerRpc,
      agent: 'a',
      address: 'a:1',
      start: 's',
      logger: createLogger({ level: 'silent', processId: 't' }),
      metrics: new NoMetrics(),
      getPlanner: () => PLANNER,
      collectReports: () => ({ reports: [], bases: new Map() }),
      applyOrders: (_orders, _epoch, _collected, answeredSince) => { answers.push(answeredSince) }
    })
    await clock.tickAsync(1_600)
    link.close()
    t.deepEqual(answers[0], { monotonicMs: startedAt.monotonicMs + expectedMs, wallMs: startedAt.wallMs + expectedMs })
  })
}
