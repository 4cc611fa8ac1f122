/**
 * The order in which agents are asked to relay store calls.
 */
import { RelayTable } from '@dragonflylever/daemon/storeRelay/relayTable'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'

const AGENTS = Array.from({ length: 76 }, (_, index) => `agent-${index}`)
const PER_CALL = 6

test('each agent of a large fleet is asked before one that failed is asked again', t => {
  const table = new RelayTable()
  const asked = new Set<string>()
  while (asked.size < AGENTS.length) {
    const next = table.rank(AGENTS).ranked.slice(0, PER_CALL).filter(address => !asked.has(address))
    t.true(next.length > 0)
    for (const address of next) {
      asked.add(address)
      table.recordFailure(address)
    }
  }
  t.is(table.rank(AGENTS).fresh, 0)
})

test.serial('the agent that relayed the last call is asked first until it fails, and a failure counts as recent for a time only', t => {
  const clock = FakeTimers.install({ toFake: ['performance'] })
  t.teardown(() => clock.uninstall())
  const table = new RelayTable()
  table.recordAnswer('agent-40')
  t.is(table.rank(AGENTS).ranked[0], 'agent-40')
  t.true(table.isRelayKnown)
  table.recordFailure('agent-40')
  t.false(table.isRelayKnown)
  t.is(table.rank(AGENTS).ranked.at(-1), 'agent-40')
  t.is(table.rank(AGENTS).fresh, AGENTS.length - 1)
  clock.tick(10_000)
  t.is(table.rank(AGENTS).fresh, AGENTS.length)
})

test('an agent that has left the directory is not asked', t => {
  const table = new RelayTable()
  table.recordAnswer('agent-gone')
  t.deepEqual(table.rank(AGENTS).ranked, AGENTS)
})
