/**
 * The store turns the entry's machine away with 503, and leaves a share of the writes that it carries out unanswered. A client that is told 503 doesn't
 * send its job again.
 */
import { hasTrouble, makeRandom, runCase, sleep } from '../standins/fleet.js'

const SEED = 7
const LOST_SHARE = 0.35
/** The longest `platform_lost` and `platform_down` of the site's days. */
const LOST_MS = 4_500
const TURNED_AWAY_MS = 9_000
const SETTLE_MS = 10_000
const PAUSE_MS = 100
const STEPS = [{ count: 1, gpu: 1, cpu: 100, 'mem-mb': 64, 'est-duration-ms': 300 }]

await runCase(import.meta.url, { entries: 1, agents: 3 }, async fleet => {
  const random = makeRandom(SEED)
  const rejected = []
  const sent = []
  if (hasTrouble) {
    fleet.store.reject = machine => machine.startsWith('front') ? 503 : 0
    fleet.store.loses = () => random() < LOST_SHARE
    setTimeout(() => { fleet.store.loses = () => false }, LOST_MS)
    setTimeout(() => { fleet.store.reject = () => 0 }, TURNED_AWAY_MS)
    fleet.note(`the store turns front-khi-a-1 away with 503, and does not answer ${LOST_SHARE} of the writes that it carries out`)
  }
  const endsAt = fleet.nowMs + LOST_MS
  for (let number = 1; fleet.nowMs < endsAt; number++) {
    const id = `a${String(number).padStart(15, '0')}`
    sent.push(fleet.submit(id, { ms: 300 }, STEPS).then(({ status }) => { if (status === 503 || status === 429) rejected.push(id) }))
    await sleep(PAUSE_MS)
  }
  await Promise.all(sent)
  await sleep(TURNED_AWAY_MS - LOST_MS)
  fleet.note('the store serves all machines and answers again')
  await sleep(SETTLE_MS)
  fleet.note(`${sent.length} jobs sent, once each; ${rejected.length} answered 503 or 429`)
  const run = rejected.filter(id => fleet.listRuns(id).length > 0)
  return run.length === 0 ? undefined : `REFUSED: ${run.length} of ${rejected.length} jobs whose only attempt was rejected have run: ${run.join(' ')}`
})
