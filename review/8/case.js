/**
 * Workers without GPUs. One of them fails all that it starts for 6.5 s, and an accepted job that only this worker may run loses all attempts but the last. Checks that the last attempt is made
 * once the worker is sound again.
 */
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import { getRack, runCase } from '../standins-2/fleet.js'

const WORKERS = 13
/** The last of 13 workers, at three a rack, is alone in its rack. */
const FAULTY = WORKERS - 1
const FAULTY_MS = 6_500
const WORK_MS = 3_000
const CAPACITY = { cpu: 16_000, 'mem-mb': 32_768, gpu: 0 }
const NEEDS = { cpu: 2_000, 'mem-mb': 1_024, gpu: 0 }
const ID = '5c0e7a21d94b36fa'
const JOB = { 'task-spec': 'check', steps: [{ count: 1, cpu: NEEDS.cpu, 'mem-mb': NEEDS['mem-mb'], 'est-duration-ms': WORK_MS, 'required-label': getRack(FAULTY) }] }
/** A job may have nothing running for 3 s while there is capacity for it; `finish_s` is 14. */
const PATIENCE_MS = 45_000

await runCase({ folder: dirname(fileURLToPath(import.meta.url)), workers: WORKERS, describeTask: () => ({ workMs: WORK_MS, needs: NEEDS }), workerOptions: { capacity: CAPACITY } }, async (fleet, isTroubled) => {
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
  let state
  for (const until = fleet.now + PATIENCE_MS; fleet.now < until; await sleep(200)) {
    state = await fleet.readState(ID)
    if (state === 'completed' || state === 'failed') break
  }
  const failedEnds = fleet.events.filter(({ what, how }) => what === 'run ended' && how === 'failed').length
  fleet.record('verdict', { state, failedEnds, attempts: 4 })
  // A job whose four attempts have all failed may be shown as failed.
  return state === 'completed' || (state === 'failed' && failedEnds === 4)
})
