/**
 * Two of 40 jobs can never be done, and they have many steps. The planner's passes over their waiting steps last longer than its leadership, so that other jobs don't start any more.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'

import { BOUNDS, NotRun, runCase } from '../standins-3/fleet.js'

const MS_PER_S = 1_000
/** Number of steps; the body has less than the 262,144 bytes that a manifest allows, and the job is accepted. */
const STEPS = 4_400
const POISON = ['00000000000000d0', '00000000000000d1']
const STEP = { count: 1, cpu: 2_800, 'mem-mb': 15_000, gpu: 1, 'est-duration-ms': 1_000 }
const BEFORE = Array.from({ length: 19 }, (_, index) => `00000000000001${String(index).padStart(2, '0')}`)
const AFTER = Array.from({ length: 19 }, (_, index) => `00000000000002${String(index).padStart(2, '0')}`)
/** Time with nothing running that breaks the rule, in milliseconds. */
const IDLE_MS = 3 * MS_PER_S
const WATCHED_MS = 25 * MS_PER_S

function describe () {
  return { workMs: MS_PER_S, needs: { cpu: STEP.cpu, 'mem-mb': STEP['mem-mb'], gpu: STEP.gpu }, gangSize: 1, isLasting: false }
}

async function submitPoison (fleet, recorder, id) {
  const steps = Array.from({ length: STEPS }, () => ({ count: 1, cpu: 1, 'required-label': 'none' }))
  const body = { 'task-spec': 'x', steps }
  const { status } = await fleet.send('POST', `index/${id}`, body, { isRecorded: false })
  recorder.add('call', { method: 'POST', path: `index/${id}`, job: { steps: `${STEPS} times ${JSON.stringify(steps[0])}`, bytes: JSON.stringify(body).length }, status })
  if (status !== 200) throw new NotRun('a job that can never be done was not accepted')
}

async function play ({ fleet, recorder, isTroubled }) {
  const submit = async id => { if (!await fleet.submit(`index/${id}`, { 'task-spec': 'x', steps: [STEP] })) throw new NotRun(`job ${id} was not accepted`) }
  await sleep(3 * MS_PER_S)
  for (const id of BEFORE) await submit(id)
  await sleep(5 * MS_PER_S)
  for (const id of BEFORE) if (await fleet.getState(`index/${id}`) !== 'completed') throw new NotRun(`job ${id} did not complete before the disruption`)
  if (isTroubled) for (const id of POISON) await submitPoison(fleet, recorder, id)
  await sleep(2 * MS_PER_S)
  for (const id of AFTER) await submit(id)
  // The end of the traffic.
  await sleep(BOUNDS.finish_s * MS_PER_S)
  const from = recorder.now
  await sleep(WATCHED_MS)
  const leaders = new Set(fleet.store.history.filter(({ key, tombstone }) => key === 'dragonflylever/duties/graph-planner' && tombstone !== true).map(item => item['created-rev']))
  recorder.add('at the end', { plannersElected: leaders.size, endsThatLapsed: recorder.list('end').filter(({ how }) => how === 'lapsed').length })
  const violations = []
  for (const id of AFTER) {
    const state = await fleet.getState(`index/${id}`)
    const firstStart = recorder.list('start').find(({ task }) => task.startsWith(id))?.at
    recorder.add('state of a job at the end', { job: id, state, firstStart })
    const idleMs = (firstStart ?? recorder.now) - from
    if (idleMs > IDLE_MS) violations.push({ rule: 'LOST', job: id, state, idleMs, free: 'both workers are sound and empty' })
  }
  return violations
}

await runCase(dirname(fileURLToPath(import.meta.url)), () => ({ agents: 2, routes: { index: { priority: 2, 'target-latency-ms': 3_000 } }, describe }), play)
