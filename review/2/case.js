/**
 * The store is down for some seconds while the records of ended jobs expire; later it forgets its history. The jobs have been completed long before.
 */
import { hasTrouble, runCase, sleep, waitUntil } from '../standins/fleet.js'

const JOBS = 5
const STEPS = [{ count: 1, gpu: 1, cpu: 100, 'mem-mb': 64, 'est-duration-ms': 300 }]
const STATUS_S = 20
const DOWN_MS = 6_000
/** The planner removes expired records each 5 s. */
const BEFORE_EXPIRY_MS = 800

await runCase(import.meta.url, { entries: 1, agents: 3, bounds: { status_s: STATUS_S } }, async fleet => {
  const ids = Array.from({ length: JOBS }, (_, index) => `f${String(index + 1).padStart(15, '0')}`)
  for (const id of ids) await fleet.submit(id, { ms: 300 }, STEPS)
  const isDone = await waitUntil(async () => (await Promise.all(ids.map(id => fleet.getState(id)))).every(state => state === 'completed'), 20_000)
  if (!isDone) throw new Error('the jobs were not completed')
  fleet.note('client gets state completed for all jobs')
  const completedAt = fleet.nowMs
  await sleep(2 * STATUS_S * 1_000 - BEFORE_EXPIRY_MS)
  if (hasTrouble) {
    fleet.store.stop()
    fleet.note('the store is down and resets channels')
  }
  await sleep(DOWN_MS)
  if (hasTrouble) {
    fleet.store.resume()
    fleet.note('the store is up')
  }
  await sleep(4_000)
  fleet.store.isDeaf = hasTrouble
  await fleet.submit('f0000000000000aa', { ms: 300 }, STEPS)
  await sleep(1_000)
  fleet.store.isDeaf = false
  if (hasTrouble) {
    fleet.store.forgetHistory()
    fleet.note('the store has forgotten its history')
  }
  await sleep(15_000)
  const done = fleet.runs.filter(run => ids.some(id => run.task.startsWith(id)) && run.how === 'done' && run.isNoted)
  const again = fleet.runs.filter(run => run.begunAt > completedAt && done.some(one => one.task === run.task && one.endedAt < run.begunAt))
  return again.length === 0 ? undefined : `TWICE: ${again.length} subtasks of completed jobs have run again, after their ends were taken note of`
})
