/**
 * A check-in of another writer names a service that does not exist, by a long text. The agent takes it for a worker, and its reports become too large for the planner, so that the sound worker beside it is lost too.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'

import { BOUNDS, NotRun, runCase } from '../standins-3/fleet.js'
import { call } from '../standins-3/http.js'

const MS_PER_S = 1_000
const SERVICE_BYTES = 2.5 * 1024 * 1024
const INTERVAL_MS = 10 * MS_PER_S
/** Time with nothing running that breaks the rule, in milliseconds. */
const IDLE_MS = 3 * MS_PER_S
const WATCHED_MS = 20 * MS_PER_S
const JOBS = ['00000000000000b1', '00000000000000b2', '00000000000000b3', '00000000000000b4']
const STEP = { count: 1, cpu: 2_800, 'mem-mb': 15_000, gpu: 1, 'est-duration-ms': 2_000 }

function describe () {
  return { workMs: 2_000, needs: { cpu: STEP.cpu, 'mem-mb': STEP['mem-mb'], gpu: STEP.gpu }, gangSize: 1, isLasting: false }
}

/** Sends the check-in of another writer to the agent of each worker. */
async function sendForeignCheckIns (fleet, recorder, sequence) {
  for (const [index, { options }] of fleet.workers.entries()) {
    const answer = await call({
      address: options.control,
      method: 'POST',
      path: `/-/instances/other-${index + 1}/heartbeat`,
      timeoutMs: 1_000,
      body: { service: 'u'.repeat(SERVICE_BYTES), address: `${options.host}:9`, zone: 'z1', version: 'v1', slots: 8, state: 'ready', 'cold-left-ms': 0, capacity: { cpu: 32_000, 'mem-mb': 131_072, gpu: 8 }, labels: ['a', 'r1-9'], 'clock-ms': 1_000 + sequence, 'call-seq': sequence, born: 1_700_000_000_000 }
    })
    recorder.add('check-in of another writer', { to: options.control, id: `other-${index + 1}`, service: `${SERVICE_BYTES} bytes`, status: answer.status })
  }
}

async function play ({ fleet, recorder, isTroubled }) {
  const submit = async id => { if (!await fleet.submit(`index/${id}`, { 'task-spec': 'x', steps: [STEP] })) throw new NotRun(`job ${id} was not accepted`) }
  await sleep(3 * MS_PER_S)
  await submit(JOBS[0])
  await sleep(4 * MS_PER_S)
  if (await fleet.getState(`index/${JOBS[0]}`) !== 'completed') throw new NotRun('the first job did not complete')
  let sequence = 0
  const timer = isTroubled ? setInterval(() => sendForeignCheckIns(fleet, recorder, ++sequence), INTERVAL_MS) : undefined
  if (isTroubled) await sendForeignCheckIns(fleet, recorder, ++sequence)
  await sleep(MS_PER_S)
  for (const id of JOBS.slice(1)) await submit(id)
  // The end of the traffic.
  await sleep(BOUNDS.finish_s * MS_PER_S)
  const from = recorder.now
  await sleep(WATCHED_MS)
  clearInterval(timer)
  const violations = []
  for (const id of JOBS.slice(1)) {
    const state = await fleet.getState(`index/${id}`)
    const starts = recorder.list('start').filter(({ task }) => task.startsWith(id))
    recorder.add('state of a job at the end', { job: id, state, starts: starts.length })
    const firstStart = starts[0]?.at ?? recorder.now
    if (firstStart - from > IDLE_MS) violations.push({ rule: 'LOST', job: id, state, idleMs: firstStart - from, free: 'both workers are sound and empty' })
  }
  return violations
}

await runCase(dirname(fileURLToPath(import.meta.url)), () => ({ agents: 2, routes: { index: { priority: 2, 'target-latency-ms': 3_000 } }, describe }), play)
