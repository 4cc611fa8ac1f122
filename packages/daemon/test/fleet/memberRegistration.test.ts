/**
 * Tests how a process keeps itself known to the entries while it tries to become the registrar.
 */
import { SeededRandom } from '@dragonflylever/core'
import { DomainTable } from '@dragonflylever/daemon/fleet/domainTable'
import { MemberRegistration } from '@dragonflylever/daemon/fleet/memberRegistration'
import type { FleetContext } from '@dragonflylever/daemon/fleet/fleetContext'
import { ConfigurationHolder } from '@dragonflylever/daemon/shared/configurationHolder'
import { createInitialFleetState } from '@dragonflylever/daemon/shared/fleetState'
import type { FleetState } from '@dragonflylever/daemon/shared/fleetState'
import type { Member, PeerRpc } from '@dragonflylever/protocol'
import { Blackboard, createLogger } from '@dragonflylever/runtime'
import test from 'ava'

const MEMBER: Member = { id: 'entry-2', incarnation: 'i', role: 'entry', address: '127.0.0.1:2', region: 'r', failureDomain: 'd', state: 'alive' }

/** A context whose entry answers heartbeats and knows no registrar; returns the methods called. */
function makeContext (): { readonly context: FleetContext, readonly calls: string[] } {
  const calls: string[] = []
  const logger = createLogger({ level: 'silent', processId: 't' })
  const board = new Blackboard<FleetState>(createInitialFleetState())
  const peers: PeerRpc = {
    call: async (_address, method) => {
      calls.push(method)
      return { kind: 'failed', message: 'no answer is needed' }
    },
    close: async () => {}
  }
  const context: FleetContext = {
    id: MEMBER.id,
    region: MEMBER.region,
    failureDomain: MEMBER.failureDomain,
    isEntry: true,
    join: ['127.0.0.1:1'],
    board,
    table: new DomainTable(),
    holder: new ConfigurationHolder(board, logger),
    peers,
    random: new SeededRandom(1),
    logger,
    describe: () => MEMBER
  }
  return { context, calls }
}

test('a store that is slow to answer an election does not hold up the heartbeats to the entries', async t => {
  const { context, calls } = makeContext()
  let elections = 0
  const registration = new MemberRegistration({
    context,
    relay: { request: async () => false, applyUpdate: async () => {} },
    duty: {
      tryAcquire: () => {
        elections++
        return new Promise(() => {})
      }
    },
    registrar: { register: () => false, remove: () => false, startEpoch: () => {} },
    onElected: async () => {}
  })
  for (let round = 0; round < 3; round++) await registration.check()
  t.deepEqual(calls, ['heartbeat', 'heartbeat', 'heartbeat'])
  t.is(elections, 1)
})
