/**
 * Tests membership with separate processes: a registrar is paused past its lease, and agents join and leave while the store is unavailable.
 */
import { fileURLToPath } from 'node:url'

import { OperatorPath } from '@dragonflylever/protocol'
import type { FleetStatus } from '@dragonflylever/protocol'
import { OPERATORS_KEY, ProcessFleet } from '@dragonflylever/standins'
import type { DaemonProcess } from '@dragonflylever/standins'
import test from 'ava'
import { request } from 'undici'

const BINARY = fileURLToPath(new URL('../../src/main.js', import.meta.url))
const TIMEOUT_MS = 30_000

async function readStatus (entry: DaemonProcess): Promise<FleetStatus> {
  const response = await request(`http://${entry.addresses.operators}${OperatorPath.status}`, { headers: { authorization: `Bearer ${OPERATORS_KEY}` } })
  return await response.body.json() as FleetStatus
}

async function waitForStatus (entry: DaemonProcess, isWanted: (status: FleetStatus) => boolean): Promise<FleetStatus> {
  const deadline = performance.now() + TIMEOUT_MS
  for (;;) {
    const status = await readStatus(entry)
    if (isWanted(status)) return status
    if (performance.now() > deadline) throw new Error(`the entry did not report the expected fleet status within 30 seconds: ${JSON.stringify(status)}`)
    await new Promise(resolve => setTimeout(resolve, 100))
  }
}

function listIds (status: FleetStatus): string {
  return status.processes.filter(one => one.state === 'alive').map(one => one.id).join(' ')
}

test('a registrar that is paused past its lease is replaced under a higher epoch, and accepts the new registrar when it resumes', async t => {
  const fleet = await ProcessFleet.start({ binary: BINARY, entries: 2, agents: 2 })
  t.teardown(() => fleet.close())
  const [first, second] = fleet.entries
  if (first === undefined || second === undefined) return t.fail('no entries')
  const before = (await waitForStatus(second, status => status.duties.some(duty => duty.holder === 'entry-1'))).duties[0]
  first.signal('SIGSTOP')
  const during = await waitForStatus(second, status => status.duties.some(duty => duty.holder !== 'entry-1') && !listIds(status).includes('entry-1'))
  t.true((during.duties[0]?.epoch ?? 0) > (before?.epoch ?? 0))
  first.signal('SIGCONT')
  const after = await waitForStatus(first, status => status.duties[0]?.epoch === during.duties[0]?.epoch && listIds(status) === 'agent-1 agent-2 entry-1 entry-2')
  t.is(after.duties[0]?.holder, during.duties[0]?.holder)
})

test('agents join and leave while the store is unavailable, and membership agrees once the store has recovered', async t => {
  const fleet = await ProcessFleet.start({ binary: BINARY, entries: 1, agents: 2 })
  t.teardown(() => fleet.close())
  const [entry] = fleet.entries
  if (entry === undefined) return t.fail('no entry')
  await waitForStatus(entry, status => listIds(status) === 'agent-1 agent-2 entry-1')
  fleet.store.setDown(true)
  await new Promise(resolve => setTimeout(resolve, 6_000))
  await fleet.addAgent('agent-3')
  fleet.agents[0]?.daemon.signal('SIGKILL')
  fleet.agents[1]?.daemon.signal('SIGTERM')
  const during = await waitForStatus(entry, status => listIds(status) === 'agent-3 entry-1')
  t.is(during.store.health, 'down')
  t.is(during.processes.find(one => one.id === 'agent-3')?.revision, 1)
  fleet.store.setDown(false)
  const after = await waitForStatus(entry, status => status.store.health === 'up' && status.duties[0]?.holder !== undefined)
  t.is(listIds(after), 'agent-3 entry-1')
})
