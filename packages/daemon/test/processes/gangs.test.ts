/**
 * Tests gangs on a fleet of separate processes on loopback. The simulated workers record the start and end of each run.
 */
import { fileURLToPath } from 'node:url'

import type { JobView } from '@dragonflylever/protocol'
import { ProcessFleet } from '@dragonflylever/standins'
import type { TaskRun } from '@dragonflylever/standins'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { request } from 'undici'

const BINARY = fileURLToPath(new URL('../../src/main.js', import.meta.url))
const HEADERS = { 'dfl-organisation': 'kelp-works' }
const WAIT_TIMEOUT_MS = 60_000
const POLL_MS = 50
const STORE_POLL_MS = 500

interface Submitted {
  readonly status: number
  readonly job: JobView
}

async function startFleet (t: ExecutionContext, entries: number, agents: number): Promise<ProcessFleet> {
  t.timeout(WAIT_TIMEOUT_MS * 2)
  const fleet = await ProcessFleet.start({ binary: BINARY, entries, agents })
  t.teardown(() => fleet.close())
  return fleet
}

/** Submits a gang whose tasks each need a whole worker. */
async function submit (fleet: ProcessFleet, tasks: number, runMs: number, entry = 0): Promise<Submitted> {
  const job = { class: 'recipe-run', organisation: 'kelp-works', key: 'job-1', tasks, shape: { accelerators: 8, cores: 4, memoryGb: 16 }, runFor: '10s', checkpointable: true, payload: { runMs } }
  const response = await request(`${fleet.getCallerUrl(entry)}/v1/jobs`, { method: 'POST', headers: HEADERS, body: JSON.stringify(job) })
  return { status: response.statusCode, job: await response.body.json() as JobView }
}

async function readJob (fleet: ProcessFleet, entry: number): Promise<JobView | undefined> {
  const response = await request(`${fleet.getCallerUrl(entry)}/v1/jobs`, { headers: HEADERS })
  return (await response.body.json() as { jobs?: JobView[] }).jobs?.[0]
}

function listRuns (fleet: ProcessFleet): TaskRun[] {
  return fleet.agents.flatMap(agent => agent.worker.worker.engine.runs)
}

async function waitUntil (condition: () => boolean | Promise<boolean>, pollMs = POLL_MS): Promise<void> {
  const deadline = performance.now() + WAIT_TIMEOUT_MS
  while (!await condition()) {
    if (performance.now() > deadline) throw new Error('the runs or the job did not reach the awaited state within 60 seconds')
    await new Promise(resolve => setTimeout(resolve, pollMs))
  }
}

async function waitForEnd (fleet: ProcessFleet, entry: number): Promise<JobView | undefined> {
  let job: JobView | undefined
  await waitUntil(async () => {
    job = await readJob(fleet, entry)
    return job?.endedAt !== undefined
  }, STORE_POLL_MS)
  return job
}

test('when the planner is killed, a gang continues under the next planner and no task runs twice', async t => {
  const fleet = await startFleet(t, 2, 2)
  t.is((await submit(fleet, 2, 15_000)).status, 202)
  await waitUntil(() => listRuns(fleet).length === 2)
  await fleet.entries[0]?.kill()
  const job = await waitForEnd(fleet, 1)
  t.is(job?.state, 'done')
  t.is(listRuns(fleet).length, 2)
})

test('when an agent is killed, the whole gang stops before it restarts on other workers', async t => {
  const fleet = await startFleet(t, 1, 3)
  t.is((await submit(fleet, 2, 4_000)).status, 202)
  await waitUntil(() => listRuns(fleet).length === 2)
  const victim = fleet.agents.find(agent => agent.worker.worker.engine.runs.length > 0)
  await victim?.daemon.kill()
  const job = await waitForEnd(fleet, 0)
  t.is(job?.state, 'done')
  const runs = listRuns(fleet)
  const second = runs.filter(run => run.incarnation === 2)
  t.is(second.length, 2)
  const firstEnds = Math.max(...runs.filter(run => run.incarnation === 1).map(run => run.endedAt ?? Infinity))
  t.true(firstEnds <= Math.min(...second.map(run => run.startedAt)))
})

test('a cancelled job stops on every worker and is reported as cancelled', async t => {
  const fleet = await startFleet(t, 1, 2)
  const { job } = await submit(fleet, 2, 60_000)
  await waitUntil(() => listRuns(fleet).length === 2)
  const response = await request(`${fleet.getCallerUrl()}/v1/jobs/${job.id}/cancel`, { method: 'POST', headers: HEADERS })
  t.is(response.statusCode, 202)
  await response.body.dump()
  t.is((await waitForEnd(fleet, 0))?.state, 'cancelled')
  t.true(listRuns(fleet).every(run => run.endedAt !== undefined))
})

test('a job is not accepted while the store is unavailable, and repeated submissions with the same key create one job', async t => {
  const fleet = await startFleet(t, 1, 1)
  fleet.store.setDown(true)
  const refused = await submit(fleet, 1, 100)
  t.true(refused.status === 503 || refused.status === 502)
  fleet.store.setDown(false)
  await waitUntil(async () => {
    const again = await submit(fleet, 1, 100)
    return again.status === 202 || again.status === 200
  }, STORE_POLL_MS)
  t.is((await submit(fleet, 1, 100)).status, 200)
  t.is((await waitForEnd(fleet, 0))?.state, 'done')
  t.is(listRuns(fleet).length, 1)
})
