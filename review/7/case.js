/**
 * The store carries out the writes of one submission late and does not answer them. The consumer, who got no acceptance, cancels the job and is told that it doesn't exist. Checks that no
 * subtask of the cancelled job is at work once everything has been calm for long enough.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import { runCase } from '../standins-2/fleet.js'

/** False with TROUBLE=0: the case then runs the same without its disruption. */
const isTroubled = process.env.TROUBLE !== '0'
/** Where it is written what was sent, answered and run. */
const recordFile = fileURLToPath(new URL('record.txt', import.meta.url))

const WORKERS = 3
const LOST_MS = 4_500
const LATE_MS = 5_500
const WORK_MS = 60_000
const OTHER_WORK_MS = 500
const OTHER_PAUSE_MS = 250
const NEEDS = { cpu: 4_000, 'mem-mb': 4_000, gpu: 1 }
const ID = '5c0e7a21d94b36fc'
const JOB = { 'task-spec': 'roast', steps: [{ count: 1, ...NEEDS, 'est-duration-ms': WORK_MS }] }
const OTHER_JOB = { 'task-spec': 'other', steps: [{ count: 1, ...NEEDS, 'est-duration-ms': OTHER_WORK_MS }] }
/** `contact-ms`, `cancel_ms` and `stop-grace-ms`, in which a subtask of a cancelled job has to be gone while there is no disturbance, and 2 s more. */
const CALM_MS = 4_000 + 3_000 + 400 + 2_000
const MAX_LOST_SHARE = 0.35

function describeTask (task) {
  return { workMs: task.startsWith(ID) ? WORK_MS : OTHER_WORK_MS, needs: NEEDS }
}

/** Loses the answers to the writes of the job for `LOST_MS`, and carries these out late. Returns the counts of writes. */
function loseWrites (fleet) {
  const counts = { writes: 0, lost: 0 }
  const until = fleet.now + LOST_MS
  fleet.record('disruption begins', { kind: 'platform_lost', how: 'late', forMs: LOST_MS, lateMs: LATE_MS })
  fleet.store.disrupt = ({ path, body }) => {
    if (path !== '/-/kv-txn' || fleet.now > until) return undefined
    counts.writes++
    if (!body.puts.some(({ key }) => key.includes(ID))) return undefined
    counts.lost++
    fleet.record('write of the job gets no answer', {})
    return { lateMs: LATE_MS, onLate: status => fleet.record('write of the job carried out late', { status }) }
  }
  return counts
}

/** Submits other jobs meanwhile, so that the store has more writes than those that are lost. */
async function submitOthers (fleet) {
  const until = fleet.now + LOST_MS
  for (let number = 0; fleet.now < until; number++) {
    await fleet.call('POST', `/recipes/${number.toString(16).padStart(16, 'a')}`, OTHER_JOB, { entry: 1 })
    await sleep(OTHER_PAUSE_MS)
  }
}

await runCase({ isTroubled, recordFile, workers: WORKERS, entries: 2, describeTask }, async fleet => {
  const counts = isTroubled ? loseWrites(fleet) : undefined
  const others = submitOthers(fleet)
  await sleep(1_000)
  await fleet.call('POST', `/recipes/${ID}`, JOB)
  await sleep(200)
  const cancelled = await fleet.call('DELETE', `/recipes/${ID}`)
  if (cancelled.status !== 410 && (cancelled.status < 200 || cancelled.status > 299)) throw new Error(`the cancelling was answered ${cancelled.status}`)
  await others
  await sleep(LATE_MS + CALM_MS)
  if (counts !== undefined) fleet.record('disruption ended', counts)
  if (counts !== undefined && counts.lost > counts.writes * MAX_LOST_SHARE) throw new Error('more writes were lost than the pages name')
  const { state } = (await fleet.call('GET', `/recipes/${ID}`)).body
  const running = fleet.workers.flatMap(worker => worker.runningTasks).filter(task => task.startsWith(ID))
  fleet.record('verdict', { cancelAnswer: cancelled.status, state, running })
  return running.length === 0
})
