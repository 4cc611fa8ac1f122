/**
 * The planner ignores a report that arrives after a later one of the same agent process; otherwise runs that have ended since would
 * appear as orphaned.
 */
import { GraphPlanner } from '@dragonflylever/core/graphs/index'
import type { WorkerReport } from '@dragonflylever/core/graphs/index'
import type { RpcParams } from '@dragonflylever/protocol'
import test from 'ava'

import { ReportLongPoll } from '../../src/jobPlanner/reportLongPoll.js'
import { TIMES } from '../graphs/graphNode.js'

function makeParams (start: string, number: number, listNumber: number, running: WorkerReport['running']): RpcParams<'workerReports'> {
  const report: WorkerReport = {
    key: { id: 'w', born: 1 },
    address: 'a:1',
    service: 's',
    rack: 'r',
    labels: [],
    failureDomain: 'd',
    region: 'r',
    capacity: { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 8 },
    isDraining: false,
    drainLeftMs: undefined,
    isOver: false,
    isReachable: true,
    leaseLeftMs: 0,
    listNumber,
    running,
    ended: [],
    orders: [],
    crashes: []
  }
  return { agent: 'agent', address: 'a:2', start, number, waitMs: 1, reports: [report] as never }
}

test('a report that arrives after a later one is ignored, and the first report of a restarted agent is accepted', async t => {
  const events: string[] = []
  const planner = new GraphPlanner({ times: TIMES, getWallTime: () => 0, log: { note: event => { events.push(event) } } })
  const poll = new ReportLongPoll({ planner, epoch: 1, mayGrant: () => true, mayStart: () => true, onReports: () => {} })
  const old = [{ task: '1.0.0.0', run: 1, checkpoint: '', percent: 5, usage: 0 }]
  t.is((await poll.acceptReports(makeParams('one', 2, 2, []))).orders.length, 1)
  t.is((await poll.acceptReports(makeParams('one', 1, 1, old))).orders.length, 0)
  t.false(events.includes('stray run'))
  t.is((await poll.acceptReports(makeParams('two', 1, 1, old))).orders.length, 1)
  t.true(events.includes('stray run'))
})
