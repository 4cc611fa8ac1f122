/**
 * `dragonflylever demo`: runs sample requests and a gang job on stand-ins, within one process.
 */
import { request } from 'undici'

import { JobClient } from '../jobs/jobClient.js'
import { DemoFleet } from './demoFleet.js'

interface DemoRequest {
  readonly label: string
  readonly className: string
  readonly organisation: string
  readonly path: string
  readonly body: string
  /** Idempotency key. */
  readonly key?: string
}

const REQUESTS: readonly DemoRequest[] = [
  { label: 'urgent care match', className: 'care-match', organisation: 'guild', path: '/match', body: '{"need":"elder care"}' },
  { label: 'allergen check', className: 'allergen-check', organisation: 'kelp-works', path: '/check', body: '{"blend":"sesame"}' },
  { label: 'reconciliation', className: 'reconciliation', organisation: 'canteens', path: '/reconcile', body: '{"delivery":17}', key: 'delivery-17' },
  { label: 'the same reconciliation again', className: 'reconciliation', organisation: 'canteens', path: '/reconcile', body: '{"delivery":17}', key: 'delivery-17' },
  { label: 'a class that is not declared', className: 'juggling', organisation: 'guild', path: '/x', body: '{}' }
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
const JOB_TIMEOUT_MS = 30_000
const POLL_MS = 100

/** Runs the demo and returns the exit code. */
export async function runDemo (print: (line: string) => void): Promise<number> {
  const fleet = await DemoFleet.start()
  print(`entry at ${fleet.callerUrl}, 3 agents in 2 regions`)
  try {
    for (const demoRequest of REQUESTS) print(await sendRequest(fleet.callerUrl, demoRequest))
    const started = fleet.endpoints.reduce((sum, endpoint) => sum + endpoint.executions.length, 0)
    print(await runJob(fleet))
    print(`executions at the endpoints: ${started}`)
    return 0
  } finally {
    await fleet.close()
  }
}

/** Submits a gang job and waits until it has ended. Returns the line to print. */
async function runJob (fleet: DemoFleet): Promise<string> {
  const client = new JobClient({ url: fleet.callerUrl, organisation: JOB.organisation, key: undefined })
  const submitted = await client.submit(JSON.stringify(JOB))
  if (submitted.kind !== 'ok') return `gang job: ${submitted.message}`
  const deadline = performance.now() + JOB_TIMEOUT_MS
  for (;;) {
    const listed = await client.list()
    const job = listed.kind === 'ok' ? listed.value.jobs.find(job => job.id === submitted.value.id) : undefined
    const tasks = fleet.workers.flatMap(worker => worker.worker.engine.runs).length
    if (job?.endedAt !== undefined) return `gang job of ${JOB.tasks} tasks: ${job.state}, ${tasks} tasks ran`
    if (performance.now() > deadline) return `gang job: still ${job?.state ?? 'unknown'}`
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
}

async function sendRequest (url: string, demoRequest: DemoRequest): Promise<string> {
  const headers: Record<string, string> = { 'dfl-class': demoRequest.className, 'dfl-organisation': demoRequest.organisation, 'dfl-caller': 'demo' }
  if (demoRequest.key !== undefined) headers['idempotency-key'] = demoRequest.key
  const response = await request(`${url}/v1/call${demoRequest.path}`, { method: 'POST', headers, body: demoRequest.body })
  const text = (await response.body.text()).trim()
  const replayed = response.headers['dfl-replayed'] === 'true' ? ', replayed' : ''
  return `${demoRequest.label}: ${String(response.headers['dfl-outcome'])} (${response.statusCode}${replayed}) ${text}`
}
