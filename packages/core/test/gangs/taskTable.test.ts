/**
 * Invariants of an agent's task table: incarnations run at most once, leases expire and earlier epochs are fenced.
 */
import { TaskStatus, TaskTable } from '@dragonflylever/core'
import type { AgentCommand, TaskStatus as Status } from '@dragonflylever/core'
import test from 'ava'

const SHAPE = { accelerators: 8, cores: 8, memoryGb: 8 }
const ID = { jobId: 'job', incarnation: 1, task: 0 }

function makeTable (): TaskTable {
  return new TaskTable({ workerId: 'w0', capacity: SHAPE, leaseMs: 1_000 })
}

function sendAll (table: TaskTable, kinds: ReadonlyArray<AgentCommand['kind']>, now: number, epoch = 1): Status | 'fenced' {
  let status: Status | 'fenced' = TaskStatus.gone
  for (const kind of kinds) {
    const answer = table.executeCommand(kind === 'reserve' ? { kind, epoch, id: ID, shape: SHAPE } : { kind, epoch, id: ID }, now)
    status = answer.kind === 'fenced' ? 'fenced' : answer.report.status
  }
  return status
}

test('a stopped task incarnation never starts again, even if the stop arrives before the start', t => {
  const table = makeTable()
  t.is(sendAll(table, ['stop', 'reserve', 'prepare', 'go'], 0), TaskStatus.gone)
})

test('a task incarnation whose lease has expired never starts again', t => {
  const table = makeTable()
  t.is(sendAll(table, ['reserve', 'prepare', 'go'], 0), TaskStatus.running)
  t.deepEqual(table.expireLeases(1_000), [ID])
  t.is(sendAll(table, ['reserve', 'prepare', 'go'], 1_001), TaskStatus.gone)
})

test('a lease is extended from the time at which the renewal was requested, even if the answer arrives late', t => {
  const table = makeTable()
  sendAll(table, ['reserve', 'prepare', 'go'], 0)
  table.renewLease(ID, 1, 0, 900)
  t.deepEqual(table.expireLeases(1_000), [ID])
})

test('a command of an earlier epoch is refused', t => {
  const table = makeTable()
  sendAll(table, ['reserve'], 0, 2)
  t.is(sendAll(table, ['prepare'], 0, 1), 'fenced')
})
