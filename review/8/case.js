/**
 * Workers without GPUs. One of them fails all that it starts for 6.5 s, and an accepted job that only this worker may run loses all attempts but the last. Checks that the last attempt is made
 * once the worker is sound again.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import { getRack, runCase } from '../standins-2/fleet.js'

/** False with TROUBLE=0: the case then runs the same without its disruption. */
const isTroubled = process.env.TROUBLE !== '0'
/** Where it is written what was sent, answered and run. */
const recordFile = fileURLToPath(new URL('record.txt', import.meta.url))

const WORKERS = 13
/** The last of 13 workers, at three a rack, is alone in its rack. */
const FAULTY = WORKERS - 1
const FAULTY_MS = 6_500
/** `max-attempts` of the queue. */
const ATTEMPTS = 4
const WORK_MS = 3_000
const CAPACITY = { cpu: 16_000, 'mem-mb': 32_768, gpu: 0 }
const NEEDS = { cpu: 2_000, 'mem-mb': 1_024, gpu: 0 }
const ID = '5c0e7a21d94b36fa'
const JOB = { 'task-spec': 'check', steps: [{ count: 1, cpu: NEEDS.cpu, 'mem-mb': NEEDS['mem-mb'], 'est-duration-ms': WORK_MS, 'required-label': getRack(FAULTY) }] }

await runCase({ isTroubled, recordFile, workers: WORKERS, describeTask: () => ({ workMs: WORK_MS, needs: NEEDS }), workerOptions: { capacity: CAPACITY } }, async fleet => {
  const worker = fleet.workers[FAULTY]
  if (isTroubled) {
    fleet.record('disruption begins', { kind: 'srv_grey', how: 'errors', x: 1, worker: worker.id, forMs: FAULTY_MS })
    worker.isFailing = true
    setTimeout(() => {
      worker.isFailing = false
      fleet.record('disruption ends')
    }, FAULTY_MS)
  }
  if (!await fleet.submit(ID, JOB)) throw new Error('the job was not accepted')
  if (isTroubled) await sleep(FAULTY_MS)
  const outcome = await fleet.watchJob(ID, { needs: NEEDS, isEligible: index => index === FAULTY, trafficEndedAt: fleet.now })
  const failedEnds = fleet.events.filter(({ what, how }) => what === 'run ended' && how === 'failed').length
  fleet.record('verdict', { outcome, failedEnds, attempts: ATTEMPTS })
  // A job whose attempts have all failed may be shown as failed.
  return outcome.state === 'completed' || (outcome.state === 'failed' && failedEnds >= ATTEMPTS)
})
