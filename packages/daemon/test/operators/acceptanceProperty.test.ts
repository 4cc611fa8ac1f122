/**
 * Tests operators who apply declarations concurrently while the store is unavailable, loses responses, drops writes or applies them late.
 */
import { MemoryStore, StoreEngine, createSampleDeclarations } from '@dragonflylever/standins'
import type { ApplyOutcome, ApplyRequest } from '@dragonflylever/protocol'
import type { GetOutcome, PutOutcome, PutRequest } from '@dragonflylever/adapters'
import { Blackboard, createLogger } from '@dragonflylever/runtime'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'

import { ConfigurationAcceptor, ConfigurationHolder, createInitialFleetState, decodeConfigurationRecord, getHistoryKey } from '../../src/index.js'
import type { FleetState } from '../../src/index.js'

/** Number of failing store calls in an outage; more than one attempt to apply a document makes. */
const OUTAGE_CALLS = 20

type CallFault = 'ok' | 'lost' | 'late' | 'dropped' | 'down'

/** Store that applies the next scripted fault to each call and works normally once the script has ended. */
class ScriptedStore extends MemoryStore {
  private readonly _callFaults: CallFault[]

  constructor (engine: StoreEngine, callFaults: readonly CallFault[]) {
    super({ engine })
    this._callFaults = [...callFaults]
  }

  override async get (key: string): Promise<GetOutcome> {
    await new Promise(resolve => setTimeout(resolve, 3))
    if (this._callFaults[0] === 'down') return { kind: 'unavailable', message: `${this._callFaults.shift()}` }
    return super.get(key)
  }

  override async put (request: PutRequest): Promise<PutOutcome> {
    const callFault = this._callFaults.shift() ?? 'ok'
    await new Promise(resolve => setTimeout(resolve, 7))
    if (callFault === 'down') return { kind: 'unavailable', message: 'down' }
    if (callFault === 'late') setTimeout(() => { void super.put(request) }, 250)
    if (callFault === 'late' || callFault === 'dropped') return { kind: 'ambiguous', message: callFault }
    const outcome = await super.put(request)
    return callFault === 'lost' ? { kind: 'ambiguous', message: callFault } : outcome
  }
}

interface Attempt {
  readonly startMs: number
  readonly expect: number
  readonly callFaults: readonly CallFault[]
}

interface AttemptResult {
  readonly request: ApplyRequest
  readonly outcome: ApplyOutcome
}

function createAcceptor (store: MemoryStore): { acceptance: ConfigurationAcceptor, board: Blackboard<FleetState> } {
  const board = new Blackboard(createInitialFleetState())
  const logger = createLogger({ level: 'silent', processId: 'test' })
  const holder = new ConfigurationHolder(board, logger)
  return { acceptance: new ConfigurationAcceptor({ store, prefix: 'p', holder, logger, listWorkers: () => [] }), board }
}

function createRequest (nonce: string, expect: number): ApplyRequest {
  const document = JSON.stringify({ ...createSampleDeclarations(), organisations: { [nonce]: {} } })
  return { document, expect, by: nonce, nonce, allowUnknownFleet: true, isRepeat: false }
}

async function runAttempt (engine: StoreEngine, attempt: Attempt, index: number): Promise<AttemptResult> {
  await new Promise(resolve => setTimeout(resolve, attempt.startMs))
  const request = createRequest(`operator-${index}`, attempt.expect)
  const { acceptance } = createAcceptor(new ScriptedStore(engine, attempt.callFaults))
  return { request, outcome: await acceptance.apply(request) }
}

/** Throws when a reported outcome differs from the stored records or a revision was lost. */
function checkOutcomes (engine: StoreEngine, results: readonly AttemptResult[]): void {
  const records = engine.readHistory('p/config/current', 0).flatMap(event => event.kind === 'put' ? [decodeConfigurationRecord(event.value)] : [])
  const byNonce = new Map(records.map(record => [record.acceptedBy, record.revision]))
  if (byNonce.size !== records.length) throw new Error('a document was accepted under two revisions')
  for (const [index, record] of records.entries()) {
    if (record.revision !== index + 1) throw new Error(`found revision ${record.revision} after revision ${index}`)
    const stored = engine.get(getHistoryKey('p', record.revision))
    if (index < records.length - 1 && (stored === undefined || decodeConfigurationRecord(stored).nonce !== record.nonce)) throw new Error(`revision ${record.revision} is missing from the history`)
  }
  for (const { request, outcome } of results) {
    const revision = byNonce.get(request.nonce)
    const isCorrect = outcome.kind === 'accepted' ? revision === outcome.revision : outcome.kind === 'unsettled' || revision === undefined
    if (!isCorrect) throw new Error(`${request.nonce} was reported ${JSON.stringify(outcome)} but its revision in the store is ${revision}`)
    if (outcome.kind === 'stale' && outcome.currentRevision === request.expect) throw new Error('a request was reported as stale although the expected revision was current')
  }
}

const faultLists = fc.array(fc.constantFrom<CallFault>('ok', 'ok', 'lost', 'late', 'dropped', 'down'), { maxLength: 8 })
const faultScripts = fc.oneof(faultLists, faultLists.map(start => [...start, ...new Array<CallFault>(OUTAGE_CALLS).fill('down')]))
const attempts = fc.array(fc.record({ startMs: fc.integer({ min: 0, max: 400 }), expect: fc.integer({ min: 0, max: 3 }), callFaults: faultScripts }), { minLength: 2, maxLength: 7 })

test.serial('of concurrent operators one is accepted per revision, no accepted revision is lost, and every reported outcome is correct', async t => {
  const clock = FakeTimers.install()
  t.teardown(() => clock.uninstall())
  const seen = new Set<string>()
  await fc.assert(fc.asyncProperty(attempts, async schedule => {
    const engine = new StoreEngine()
    const running = Promise.all(schedule.map((attempt, index) => runAttempt(engine, attempt, index)))
    await clock.runAllAsync()
    const results = await running
    for (const { outcome } of results) seen.add(outcome.kind)
    checkOutcomes(engine, results)
    const repeats = Promise.all(results.filter(({ outcome }) => outcome.kind === 'unsettled').map(async ({ request }) => {
      const repeat = { ...request, isRepeat: true }
      return { request: repeat, outcome: await createAcceptor(new MemoryStore({ engine })).acceptance.apply(repeat) }
    }))
    await clock.runAllAsync()
    const settled = await repeats
    if (settled.some(({ outcome }) => outcome.kind === 'unsettled')) throw new Error('the outcome of a repeated request was still unsettled')
    checkOutcomes(engine, [...results, ...settled])
  }), { seed: 41, numRuns: 400 })
  t.deepEqual([...seen].sort(), ['accepted', 'stale', 'storeUnavailable', 'unsettled'])
})
