/**
 * Tests a rolling restart of every agent and entry under load. The test acts as the load balancer in front of the entries.
 */
import { createHash } from 'node:crypto'
import { fileURLToPath } from 'node:url'

import { ProcessFleet, RUN_MS_HEADER, WORK_ID_HEADER } from '@dragonflylever/standins'
import test from 'ava'
import { request } from 'undici'

const BINARY = fileURLToPath(new URL('../../src/main.js', import.meta.url))
const ENTRIES = 3
const AGENTS = 3
const CALLERS = 12
const PROBE_INTERVAL_MS = 100

/** Sends requests to the entries that report themselves ready; after a refused connection the next entry is tried. */
class Balancer {
  private readonly _fleet: ProcessFleet
  private readonly _ready = new Set<number>()
  private readonly _timer: NodeJS.Timeout
  private _next = 0

  constructor (fleet: ProcessFleet) {
    this._fleet = fleet
    this._timer = setInterval(() => { for (let index = 0; index < ENTRIES; index++) void this._refresh(index) }, PROBE_INTERVAL_MS)
  }

  close (): void {
    clearInterval(this._timer)
  }

  /** Sends a request; returns a description of the failure, or undefined when the complete answer arrived. */
  async send (workId: string): Promise<string | undefined> {
    const headers = { 'dfl-class': 'care-match', 'dfl-organisation': 'guild', 'dfl-deadline-ms': '20000', [WORK_ID_HEADER]: workId, [RUN_MS_HEADER]: '15' }
    for (;;) {
      const url = this._fleet.getCallerUrl(this._pickEntry())
      try {
        const response = await request(`${url}/v1/call/match`, { method: 'POST', headers, body: workId })
        const text = await response.body.text()
        const isOwn = text.includes(createHash('sha256').update(workId).digest('hex'))
        return response.statusCode === 200 && isOwn ? undefined : `${response.statusCode} ${text}`
      } catch (error) {
        const { code, message } = error as { code?: string, message: string }
        if (code !== 'ECONNREFUSED') return `${code} ${message}`
      }
    }
  }

  private _pickEntry (): number {
    const ready = [...this._ready]
    return ready[this._next++ % Math.max(1, ready.length)] ?? 0
  }

  private async _refresh (index: number): Promise<void> {
    try {
      const response = await request(`${this._fleet.getCallerUrl(index)}/healthz`, { headersTimeout: 1_000 })
      await response.body.dump()
      if (response.statusCode === 200) this._ready.add(index)
      else this._ready.delete(index)
    } catch {
      this._ready.delete(index)
    }
  }
}

test('no idempotent request fails during a rolling restart of all agents and entries under load', async t => {
  const fleet = await ProcessFleet.start({ binary: BINARY, entries: ENTRIES, agents: AGENTS })
  t.teardown(() => fleet.close())
  const balancer = new Balancer(fleet)
  t.teardown(() => balancer.close())
  await new Promise(resolve => setTimeout(resolve, 2 * PROBE_INTERVAL_MS))
  const load = { isOver: false, sent: 0, failures: [] as string[] }
  const callers = Array.from({ length: CALLERS }, async (_, caller) => {
    while (!load.isOver) {
      const failure = await balancer.send(`work-${caller}-${load.sent++}`)
      if (failure !== undefined) load.failures.push(failure)
    }
  })
  const exits: Array<number | null> = []
  for (const agent of fleet.agents) {
    agent.daemon.signal('SIGTERM')
    exits.push(await agent.daemon.waitForExit())
    await fleet.restartAgent(agent)
  }
  for (let index = 0; index < ENTRIES; index++) {
    fleet.entries[index]?.signal('SIGTERM')
    exits.push(await fleet.entries[index]?.waitForExit() ?? null)
    await fleet.restartEntry(index)
    await new Promise(resolve => setTimeout(resolve, 1_000))
  }
  load.isOver = true
  await Promise.all(callers)
  t.deepEqual(load.failures, [])
  t.deepEqual(exits, Array.from({ length: AGENTS + ENTRIES }, () => 0))
  t.true(load.sent > 500, `${load.sent} requests`)
  t.log(`${load.sent} requests`)
})
