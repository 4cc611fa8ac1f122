/**
 * Two times of a scheduled job are due at once; each runs a gang of two subtasks. The worker of one of the gangs turns slow. Checks that the job is shown as `completed` only once all
 * subtasks of both times have ended `done`.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import { runCase } from '../standins-2/fleet.js'

/** False with TROUBLE=0: the case then runs the same without its disruption. */
const isTroubled = process.env.TROUBLE !== '0'
/** Where it is written what was sent, answered and run. */
const recordFile = fileURLToPath(new URL('record.txt', import.meta.url))

const WORKERS = 6
const WORK_MS = 4_000
/** Work is measured in steps of this length, so that gangs that begin together and work alike end together. */
const WORK_STEP_MS = 500
const SLOWNESS = 6.5
const SLOW_MS = 7_000
const GANG_SIZE = 2
const TIMES = 2
const INTERVAL_MS = 2_000
const NEEDS = { cpu: 52_000, 'mem-mb': 200_000, gpu: 4 }
const ID = '5c0e7a21d94b36f9'
const PATIENCE_MS = 40_000

await runCase({ isTroubled, recordFile, workers: WORKERS, workStepMs: WORK_STEP_MS, describeTask: () => ({ workMs: WORK_MS, gangSize: GANG_SIZE, needs: NEEDS }) }, async fleet => {
  const subtasks = Array.from({ length: TIMES * GANG_SIZE }, (_, index) => `${ID}.${Math.floor(index / GANG_SIZE)}.0.${index % GANG_SIZE}`)
  // Submitted in the middle of a step of the work clock, so that both gangs begin within the same step.
  await sleep(WORK_STEP_MS * 1.3 - (performance.now() - fleet.workClock.steppedAt))
  const job = { 'task-spec': 'roast', steps: [{ count: GANG_SIZE, ...NEEDS, 'est-duration-ms': WORK_MS, gang: true }], 'repeat-count': TIMES, 'interval-ms': INTERVAL_MS, 'first-run-ms': Date.now() - INTERVAL_MS * TIMES }
  if (!await fleet.submit(ID, job)) throw new Error('the job was not accepted')
  await sleep(1_000)
  if (isTroubled) {
    const slow = fleet.workers.find(worker => worker.runningTasks.some(task => task.startsWith(`${ID}.1.`)))
    if (slow === undefined) throw new Error('the second time has not started')
    fleet.record('disruption begins', { kind: 'srv_slow', worker: slow.id, x: SLOWNESS, forMs: SLOW_MS })
    slow.slowness = SLOWNESS
    setTimeout(() => {
      slow.slowness = 1
      fleet.record('disruption ends')
    }, SLOW_MS)
  }
  let state
  for (const until = fleet.now + PATIENCE_MS; fleet.now < until; await sleep(100)) {
    state = await fleet.readState(ID)
    if (state === 'completed' || state === 'failed') break
  }
  if (state !== 'completed') throw new Error(`the job is not shown as completed but as ${state}`)
  const completedAt = fleet.now
  await sleep(isTroubled ? 12_000 : 3_000)
  const findDone = task => fleet.events.find(({ what, task: ended, how }) => what === 'run ended' && ended === task && how === 'done')
  const undone = subtasks.filter(task => findDone(task) === undefined || findDone(task).at > completedAt)
  fleet.record('verdict', { state, seenAt: Math.round(completedAt), notDoneThen: undone, neverDone: subtasks.filter(task => findDone(task) === undefined) })
  return undone.length === 0
})
