/**
 * What is said of a write after direct and relayed attempts: "not carried out" only if no attempt can have been carried out, whatever the others said.
 */
import { DirectPath } from '@dragonflylever/daemon/storeRelay/directPath'
import { serveRelayCall } from '@dragonflylever/daemon/storeRelay/relayHandler'
import { RelayedCaller } from '@dragonflylever/daemon/storeRelay/relayedCaller'
import { createLogger } from '@dragonflylever/runtime'
import type { HttpCall, HttpCaller, HttpOutcome } from '@dragonflylever/runtime'
import test from 'ava'
import fc from 'fast-check'

const LOGGER = createLogger({ level: 'silent', processId: 't' })
const WRITE: HttpCall = { address: 'store', method: 'POST', path: '/write', body: '{}', timeoutMs: 500 }
const AGENTS = 3
/** What happens to an attempt: whether it is carried out, and what its caller learns. */
const FATES = ['served', 'rejected', 'busy', 'notSent', 'lost', 'carriedOutAndLost'] as const
type Fate = typeof FATES[number]

/** Records whether any attempt of a write was carried out. */
interface StoreRecord { isCarriedOut: boolean }

/** A way to the store on which the attempts have drawn fates, in turn. */
class FatefulCaller implements HttpCaller {
  private readonly _fates: readonly Fate[]
  private readonly _record: StoreRecord
  private _count = 0

  constructor (fates: readonly Fate[], record: StoreRecord) {
    this._fates = fates
    this._record = record
  }

  async call (call: HttpCall): Promise<HttpOutcome> {
    const fate = call.path === WRITE.path ? this._fates[this._count++ % this._fates.length] : 'lost'
    if (fate === 'served' || fate === 'carriedOutAndLost') this._record.isCarriedOut = true
    if (fate === 'notSent') return { kind: 'notSent', message: '', isRefused: true }
    if (fate === 'lost' || fate === 'carriedOutAndLost') return { kind: 'lost', message: '' }
    return { kind: 'answered', status: fate === 'served' ? 200 : fate === 'busy' ? 429 : 503, headers: {}, body: '{}' }
  }

  close (): void {}
}

/** Calls to agents, whose requests or answers may be lost too. */
class PeerCaller implements HttpCaller {
  private readonly _fates: readonly Fate[]
  private readonly _agents: readonly DirectPath[]
  private _count = 0

  constructor (fates: readonly Fate[], agents: readonly DirectPath[]) {
    this._fates = fates
    this._agents = agents
  }

  async call (call: HttpCall): Promise<HttpOutcome> {
    const fate = this._fates[this._count++ % this._fates.length]
    const direct = this._agents[Number(call.address)]
    if (direct === undefined || fate === 'notSent') return { kind: 'notSent', message: '', isRefused: true }
    if (fate === 'lost') return { kind: 'lost', message: '' }
    const { status, body } = await serveRelayCall({ direct, storeAddress: 'store', logger: LOGGER }, call.body ?? '')
    return fate === 'carriedOutAndLost' ? { kind: 'lost', message: '' } : { kind: 'answered', status, headers: {}, body }
  }

  close (): void {}
}

function isSaidNotCarriedOut (outcome: HttpOutcome): boolean {
  return outcome.kind === 'notSent' || (outcome.kind === 'answered' && (outcome.status === 429 || outcome.status === 503))
}

test('a write of which a relayed attempt was carried out and its answer lost is not reported as rejected', async t => {
  const fates = fc.array(fc.constantFrom(...FATES), { minLength: 1, maxLength: 4 })
  await fc.assert(fc.asyncProperty(fates, fates, fc.array(fates, { minLength: AGENTS, maxLength: AGENTS }), async (direct, peers, agents) => {
    const record: StoreRecord = { isCarriedOut: false }
    const createPath = (drawn: readonly Fate[]): DirectPath => new DirectPath({ caller: new FatefulCaller(drawn, record), probe: { address: 'store', path: '/probe' }, logger: LOGGER })
    const paths = agents.map(createPath)
    const caller = new RelayedCaller({ direct: createPath(direct), peers: new PeerCaller(peers, paths), listRelays: () => paths.map((_, index) => String(index)), logger: LOGGER })
    for (let count = 0; count < 3; count++) {
      record.isCarriedOut = false
      const outcome = await caller.call(WRITE)
      t.false(isSaidNotCarriedOut(outcome) && record.isCarriedOut)
      if (outcome.kind === 'answered' && outcome.status === 200) t.true(record.isCarriedOut)
    }
    for (const path of paths) path.close()
    caller.close()
  }), { seed: 31, numRuns: 2_000 })
})
