/**
 * A worker crashes right after the subtasks of a step have started on it, and comes back. The subtasks are to run in one rack if possible, and are no gang. Checks that they are started again.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import { runCase } from '../standins-2/fleet.js'

/** False with TROUBLE=0: the case then runs the same without its disruption. */
const isTroubled = process.env.TROUBLE !== '0'
/** Where it is written what was sent, answered and run. */
const recordFile = fileURLToPath(new URL('record.txt', import.meta.url))

const WORKERS = 7
const CRASH_AFTER_MS = 500
const DOWN_MS = 4_500
const WORK_MS = 4_000
const NEEDS = { cpu: 11_000, 'mem-mb': 46_000, gpu: 1 }
const SUBTASKS = 9
const ID = '5c0e7a21d94b36fb'
const JOB = { 'task-spec': 'recon', steps: [{ count: SUBTASKS, ...NEEDS, 'est-duration-ms': WORK_MS, 'same-rack': true }] }

/** Crashes the worker with the most subtasks. */
async function crashWorker (fleet) {
  const worker = fleet.workers.reduce((most, other) => other.runningTasks.length > most.runningTasks.length ? other : most)
  fleet.record('disruption begins', { kind: 'srv_crash', worker: worker.id, forMs: DOWN_MS })
  worker.crash()
  await sleep(DOWN_MS)
  await worker.start()
  fleet.record('disruption ends')
}

await runCase({ isTroubled, recordFile, workers: WORKERS, describeTask: () => ({ workMs: WORK_MS, isSameRack: true, needs: NEEDS }) }, async fleet => {
  if (!await fleet.submit(ID, JOB)) throw new Error('the job was not accepted')
  await sleep(CRASH_AFTER_MS)
  if (isTroubled) await crashWorker(fleet)
  const outcome = await fleet.watchJob(ID, { needs: NEEDS, trafficEndedAt: fleet.now })
  const done = fleet.events.filter(({ what, how }) => what === 'run ended' && how === 'done').length
  fleet.record('verdict', { outcome, subtasksDone: done, workersUp: fleet.workers.filter(({ isUp }) => isUp).length })
  return outcome.state === 'completed'
})
