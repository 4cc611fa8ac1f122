/**
 * Another writer sends check-ins to the control addresses of two machines, one each heartbeat interval. Their address can't be read: its port is out of range.
 */
import { hasTrouble, runCase, sleep } from '../standins/fleet.js'
import { postCheckIn } from '../standins/worker.js'

const ID = 'c000000000000001'
const RUN_MS = 4_000
const INTERVAL_MS = 1_500
const CHECK_INS = 4
const OWN_ENDS_ALLOWED = 2
const MACHINES_ALLOWED = 1
const STEPS = [{ count: 3, gpu: 1, cpu: 100, 'mem-mb': 64, 'est-duration-ms': RUN_MS, 'anti-affinity': 1 }]

await runCase(import.meta.url, { entries: 1, agents: 3 }, async fleet => {
  await fleet.submit(ID, { ms: RUN_MS }, STEPS)
  const rounds = hasTrouble ? CHECK_INS : 0
  for (let round = 1; round <= rounds; round++) {
    await sleep(INTERVAL_MS)
    for (const worker of fleet.workers.slice(0, 2)) {
      const body = { ...worker.describe(), service: 'another-service', address: `${worker.address.split(':')[0]}:85290`, born: Date.now(), 'call-seq': round }
      fleet.note(`another writer sends to ${worker.control}: POST /-/instances/i-another/heartbeat ${JSON.stringify(body)}`)
      const status = await postCheckIn(worker.control, 'i-another', body)
      fleet.note(`another writer gets ${status}`)
    }
  }
  await sleep(8_000)
  fleet.note(`client gets state ${await fleet.getState(ID)}`)
  const ended = fleet.machines.filter(({ ownEnds }) => ownEnds > OWN_ENDS_ALLOWED)
  if (ended.length <= MACHINES_ALLOWED) return undefined
  return `Fault: processes ended by themselves three times or more on ${ended.length} of ${fleet.machines.length} machines: ${ended.map(({ name, ownEnds }) => `${name} ${ownEnds} times`).join(', ')}`
})
