/**
 * A large job comes. The record of its progress is larger than a value of the store may be; the planner sends it again and again, stores nothing else any more, and ends for want of memory.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'

import { BOUNDS, NotRun, runCase } from '../standins-3/fleet.js'

const MS_PER_S = 1_000
const LARGE = '00000000000000e0'
/** The entry accepts up to 10,000 subtasks. All of them fit beside each other: two times 9,000 subtasks need 18 of 64 cores. */
const LARGE_STEP = { count: 9_000, cpu: 1, 'mem-mb': 1, 'est-duration-ms': 2_000 }
const REPEAT = { 'repeat-count': 2, 'interval-ms': 100 }
const STEP = { count: 1, cpu: 2_800, 'mem-mb': 15_000, gpu: 1, 'est-duration-ms': 1_000 }
const FIRST = '00000000000000e1'
const AFTER = ['00000000000000e2', '00000000000000e3', '00000000000000e4']
/** Time with nothing running that breaks the rule, in milliseconds. */
const IDLE_MS = 3 * MS_PER_S
const WATCHED_MS = 30 * MS_PER_S
/** The rules on faults: as many machines on which processes end by themselves, so often. */
const FAULTY_MACHINES = 2
const EXITS = 3

function describe (task) {
  const { cpu, 'mem-mb': memory, gpu = 0 } = task.startsWith(LARGE) ? LARGE_STEP : STEP
  return { workMs: task.startsWith(LARGE) ? 2_000 : MS_PER_S, needs: { cpu, 'mem-mb': memory, gpu }, gangSize: 1, isLasting: false }
}

async function play ({ fleet, recorder, isTroubled }) {
  const submit = async (id, job) => { if (!await fleet.submit(`index/${id}`, { 'task-spec': 'x', ...job })) throw new NotRun(`job ${id} was not accepted`) }
  await sleep(3 * MS_PER_S)
  await submit(FIRST, { steps: [STEP] })
  await sleep(4 * MS_PER_S)
  if (await fleet.getState(`index/${FIRST}`) !== 'completed') throw new NotRun('the first job did not complete')
  if (isTroubled) await submit(LARGE, { steps: [LARGE_STEP], ...REPEAT, 'first-run-ms': Date.now() })
  await sleep(2 * MS_PER_S)
  for (const id of AFTER) await submit(id, { steps: [STEP] })
  // The end of the traffic.
  await sleep(BOUNDS.finish_s * MS_PER_S)
  const from = recorder.now
  await sleep(WATCHED_MS)
  const violations = []
  for (const id of AFTER) {
    const state = await fleet.getState(`index/${id}`)
    const firstStart = recorder.list('start').find(({ task }) => task.startsWith(id))?.at
    recorder.add('state of a job at the end', { job: id, state, firstStart })
    const idleMs = (firstStart ?? recorder.now) - from
    if (idleMs > IDLE_MS) violations.push({ rule: 'LOST', job: id, state, idleMs, free: 'both workers are sound and nearly empty' })
  }
  const exits = fleet.processes.map(({ name, exits: count }) => ({ process: name, exits: count }))
  recorder.add('at the end', { exits, rejectedTransactions: fleet.store.rejected, startsOfTheLargeJob: recorder.list('start').filter(({ task }) => task.startsWith(LARGE)).length })
  if (exits.filter(({ exits: count }) => count >= EXITS).length >= FAULTY_MACHINES) violations.push({ rule: 'Fault', exits })
  return violations
}

await runCase(dirname(fileURLToPath(import.meta.url)), () => ({ agents: 2, routes: { index: { priority: 2, 'target-latency-ms': 3_000 } }, describe, quiet: true }), play)
