/**
 * `dragonflylever demo`: the main job on stand-ins, within one process.
 */
import { request } from 'undici'

import { JobClient } from '../jobs/jobClient.js'
import { DemoFleet } from './demoFleet.js'

/** One request of the demo. */
interface DemoRequest {
  readonly label: string
  readonly className: string
  readonly organisation: string
  readonly path: string
  readonly body: string
  readonly key?: string
}

const REQUESTS: readonly DemoRequest[] = [
  { label: 'urgent care match', className: 'care-match', organisation: 'guild', path: '/match', body: '{"need":"elder care"}' },
  { label: 'allergen check', className: 'allergen-check', organisation: 'kelp-works', path: '/check', body: '{"blend":"sesame"}' },
  { label: 'reconciliation', className: 'reconciliation', organisation: 'canteens', path: '/reconcile', body: '{"delivery":17}', key: 'delivery-17' },
  { label: 'the same reconciliation again', className: 'reconciliation', organisation: 'canteens', path: '/reconcile', body: '{"delivery":17}', key: 'delivery-17' },
  { label: 'a class that nobody declared', className: 'juggling', organisation: 'guild', path: '/x', body: '{}' }
]

const JOB = {
  class: 'recipe-run',
  organisation: 'kelp-works',
  key: 'recipes-of-the-day',
  tasks: 4,
  shape: { accelerators: 2, cores: 8, memoryGb: 32 },
  adjacency: 'worker',
  runFor: '1s',
  checkpointable: true,
  payload: { runMs: 500 }
} as const
const JOB_LIMIT_MS = 30_000
const POLL_MS = 100

/** Runs the demo; returns the exit code. */
export async function runDemo (print: (line: string) => void): Promise<number> {
  const fleet = await DemoFleet.start()
  print(`entry at ${fleet.callerUrl}, 3 agents in 2 regions`)
  try {
    for (const one of REQUESTS) print(await sendOne(fleet.callerUrl, one))
    const started = fleet.endpoints.reduce((sum, endpoint) => sum + endpoint.executions.length, 0)
    print(await runJob(fleet))
    print(`executions at the endpoints: ${started}`)
    return 0
  } finally {
    await fleet.close()
  }
}

/** Submits a gang and waits for its end. */
async function runJob (fleet: DemoFleet): Promise<string> {
  const client = new JobClient({ url: fleet.callerUrl, organisation: JOB.organisation, key: undefined })
  const submitted = await client.submit(JSON.stringify(JOB))
  if (submitted.kind !== 'ok') return `gang job: ${submitted.message}`
  const limit = performance.now() + JOB_LIMIT_MS
  for (;;) {
    const listed = await client.list()
    const job = listed.kind === 'ok' ? listed.value.jobs.find(job => job.id === submitted.value.id) : undefined
    const tasks = fleet.workers.flatMap(worker => worker.worker.engine.runs).length
    if (job?.endedAt !== undefined) return `gang job of ${JOB.tasks} tasks: ${job.state}, ${tasks} tasks ran`
    if (performance.now() > limit) return `gang job: still ${job?.state ?? 'unknown'}`
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
}

async function sendOne (url: string, one: DemoRequest): Promise<string> {
  const headers: Record<string, string> = { 'dfl-class': one.className, 'dfl-organisation': one.organisation, 'dfl-caller': 'demo' }
  if (one.key !== undefined) headers['idempotency-key'] = one.key
  const response = await request(`${url}/v1/call${one.path}`, { method: 'POST', headers, body: one.body })
  const text = (await response.body.text()).trim()
  const replayed = response.headers['dfl-replayed'] === 'true' ? ', replayed' : ''
  return `${one.label}: ${String(response.headers['dfl-outcome'])} (${response.statusCode}${replayed}) ${text}`
}
