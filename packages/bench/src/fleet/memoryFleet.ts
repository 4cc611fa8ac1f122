/**
 * Fleet membership of many processes within this one, over the fakes of the store and of the calls between processes.
 * Time is the caller's (paused) clock; calls cost no time, their bytes are counted.
 */
import { SeededRandom } from '@dragonflylever/core'
import { FleetNode, createFleetFacts, getConfigurationKey } from '@dragonflylever/daemon'
import type { FleetFacts } from '@dragonflylever/daemon'
import { StoreClient } from '@dragonflylever/adapters'
import type { Configuration, Member } from '@dragonflylever/protocol'
import { Blackboard, createLogger } from '@dragonflylever/runtime'
import { MemoryPeers, MemoryStore, StoreEngine, createCallCounts, createSampleDeclarations } from '@dragonflylever/standins'

const PREFIX = 'p'
const CALL_TIMEOUT_MS = 1_000
/** Bytes of headers and JSON-RPC envelope around a request and its answer over HTTP. */
export const ENVELOPE_BYTES = 410

/** A failure domain and how many processes it has. */
export interface Place {
  readonly region: string
  readonly failureDomain: string
  readonly entries: number
  readonly agents: number
}

export interface MemoryProcess {
  readonly id: string
  readonly place: Place
  readonly address: string
  readonly incarnation: string
  readonly board: Blackboard<FleetFacts>
  readonly memory: MemoryStore
  readonly node: FleetNode
  isRunning: boolean
}

export class MemoryFleet {
  readonly engine = new StoreEngine()
  readonly counts = createCallCounts()
  readonly processes = new Map<string, MemoryProcess>()
  readonly peers: MemoryPeers
  linkBytes = 0
  private readonly _places: readonly Place[]
  private readonly _regions = new Map<string, string>()
  private readonly _logger = createLogger({ level: 'silent', processId: 'fleet' })
  private _seed: number
  private _isStoreDown = false
  private _isCut = false

  constructor (places: readonly Place[], seed: number) {
    this._places = places
    this._seed = seed
    this.peers = new MemoryPeers((from, to, bytes) => {
      if (this._regions.get(from) !== this._regions.get(to)) this.linkBytes += bytes
    })
  }

  /** Processes that run. */
  get running (): MemoryProcess[] {
    return [...this.processes.values()].filter(one => one.isRunning)
  }

  /** Watches open now, counted as one call a second each by the store. */
  get openWatches (): number {
    return this.running.reduce((sum, one) => sum + (one.board.get('storeUsage')?.openWatches ?? 0), 0)
  }

  /** Starts every process of the places; the entries first. */
  startAll (): void {
    for (const place of this._places) for (let index = 0; index < place.entries; index++) this.start(`${place.failureDomain}-e${index}`, place)
    for (const place of this._places) for (let index = 0; index < place.agents; index++) this.start(`${place.failureDomain}-a${index}`, place)
  }

  /** Starts a process, or starts it anew at the same or another address. */
  start (id: string, place = this.get(id).place, address = id): void {
    const memory = new MemoryStore({ engine: this.engine, counts: this.counts })
    memory.faults.isDown = this._isStoreDown || (this._isCut && place.region !== this._places[0]?.region)
    const random = new SeededRandom(this._seed++)
    const incarnation = `${id}#${this._seed}`
    const board = new Blackboard(createFleetFacts())
    const isEntry = id.includes('-e')
    this._regions.set(address, place.region)
    this.peers.setDown(address, false)
    const describe = (): Member => ({
      id,
      role: isEntry ? 'entry' : 'agent',
      incarnation,
      region: place.region,
      failureDomain: place.failureDomain,
      address,
      state: board.get('isLeaving') ? 'leaving' : 'alive',
      ...(isEntry ? {} : { agent: { rack: `r-${id.length}`, slots: 8, maxConnections: 60, cores: 130, memoryGb: 500, accelerators: 8 } })
    })
    const node = new FleetNode({
      id,
      region: place.region,
      failureDomain: place.failureDomain,
      role: isEntry ? 'entry' : 'agent',
      join: this._places.filter(other => other.region === place.region && other.entries > 0).map(other => `${other.failureDomain}-e0`),
      prefix: PREFIX,
      board,
      store: new StoreClient({ store: memory, random }),
      peers: this.peers.createClient(address),
      rpc: this.peers.open(address),
      random,
      logger: this._logger,
      describe
    })
    this.processes.set(id, { id, place, address, incarnation, board, memory, node, isRunning: true })
    void node.start()
  }

  get (id: string): MemoryProcess {
    const found = this.processes.get(id)
    if (found === undefined) throw new Error(`invariant: no process ${id}`)
    return found
  }

  /** Ends a process without a word. */
  kill (id: string): void {
    const process = this.get(id)
    process.isRunning = false
    process.memory.faults.isDown = true
    this.peers.setDown(process.address, true)
    void process.node.close()
  }

  /** Ends a process gracefully. */
  async stop (id: string): Promise<void> {
    const process = this.get(id)
    process.board.set('isLeaving', true)
    await process.node.leave()
    await process.node.close()
    process.isRunning = false
    if (this.processes.get(id) === process) this.peers.setDown(process.address, true)
  }

  /** Takes the store away from all, or gives it back. */
  setStoreDown (isDown: boolean): void {
    this._isStoreDown = isDown
    this._updateFaults()
  }

  /** Cuts the regions from each other, the store being in the first, or mends that. */
  setCut (isCut: boolean): void {
    this._isCut = isCut
    const all = [...this.processes.values()]
    for (const a of all) for (const b of all) if (a.address < b.address && a.place.region !== b.place.region) this.peers.setCut(a.address, b.address, isCut)
    this._updateFaults()
  }

  /** Accepts a configuration as an operator's entry does: in the store, then in force at that entry. False without the store. */
  accept (entryId: string, revision: number): boolean {
    const entry = this.get(entryId)
    if (entry.memory.faults.isDown) return false
    const configuration = createConfiguration(revision)
    this.engine.put({ key: getConfigurationKey(PREFIX), value: JSON.stringify(configuration), expect: { kind: 'any' } })
    entry.node.holder.offer(configuration)
    return true
  }

  /** Brings a process a revision that was under way for long. */
  sendLate (id: string, revision: number): void {
    const { address, place: { region, failureDomain } } = this.get(id)
    const news = { configuration: createConfiguration(revision), domains: [] }
    void this.peers.createClient(address).call(address, 'relay', { news, from: { region, failureDomain } }, CALL_TIMEOUT_MS)
  }

  /** Ends everything. */
  async close (): Promise<void> {
    await Promise.all(this.running.map(one => one.node.close()))
  }

  private _updateFaults (): void {
    for (const one of this.running) one.memory.faults.isDown = this._isStoreDown || (this._isCut && one.place.region !== this._places[0]?.region)
  }
}

function createConfiguration (revision: number): Configuration {
  return { revision, declarations: createSampleDeclarations(), acceptedAt: 0, nonce: `n${revision}`, acceptedBy: 'test' }
}
