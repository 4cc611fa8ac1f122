/**
 * Simulates the fleet membership of many processes within this process, over in-memory stand-ins of the store and of the calls between
 * processes. Time is the fake clock of the test or experiment; calls take no time, but their bytes are counted.
 */
import { SeededRandom } from '@dragonflylever/core'
import { FleetNode, createInitialFleetState, getConfigurationKey } from '@dragonflylever/daemon'
import type { FleetState } from '@dragonflylever/daemon'
import { StoreClient } from '@dragonflylever/adapters'
import type { Configuration, Member } from '@dragonflylever/protocol'
import { Blackboard, createLogger } from '@dragonflylever/runtime'
import { MemoryPeers, MemoryStore, StoreEngine, createCallCounts, createSampleDeclarations } from '@dragonflylever/standins'

const PREFIX = 'p'
const CALL_TIMEOUT_MS = 1_000
/** Estimated bytes of HTTP headers and JSON-RPC envelope around a request and its answer. */
export const ENVELOPE_BYTES = 410

/** Region of a failure domain, and the numbers of entries and agents in it. */
export interface DomainLayout {
  readonly region: string
  readonly failureDomain: string
  readonly entries: number
  readonly agents: number
}

export interface MemoryProcess {
  readonly id: string
  readonly layout: DomainLayout
  readonly address: string
  readonly incarnation: string
  readonly board: Blackboard<FleetState>
  readonly storeStandIn: MemoryStore
  readonly node: FleetNode
  isRunning: boolean
}

export class MemoryFleet {
  readonly engine = new StoreEngine()
  readonly counts = createCallCounts()
  readonly processes = new Map<string, MemoryProcess>()
  readonly peers: MemoryPeers
  linkBytes = 0
  private readonly _layouts: readonly DomainLayout[]
  private readonly _regions = new Map<string, string>()
  private readonly _logger = createLogger({ level: 'silent', processId: 'fleet' })
  private _seed: number
  private _isStoreDown = false
  private _isPartitioned = false

  constructor (layouts: readonly DomainLayout[], seed: number) {
    this._layouts = layouts
    this._seed = seed
    this.peers = new MemoryPeers((from, to, bytes) => {
      if (this._regions.get(from) !== this._regions.get(to)) this.linkBytes += bytes
    })
  }

  get running (): MemoryProcess[] {
    return [...this.processes.values()].filter(one => one.isRunning)
  }

  /** Number of store watches that running processes have open; measurements count each as one store call per second. */
  get openWatches (): number {
    return this.running.reduce((sum, one) => sum + (one.board.get('storeUsage')?.openWatches ?? 0), 0)
  }

  /** Starts all processes, the entries first. */
  startAll (): void {
    for (const layout of this._layouts) for (let index = 0; index < layout.entries; index++) this.start(`${layout.failureDomain}-e${index}`, layout)
    for (const layout of this._layouts) for (let index = 0; index < layout.agents; index++) this.start(`${layout.failureDomain}-a${index}`, layout)
  }

  /** Starts a process, or restarts it as a new incarnation at the same or another address. */
  start (id: string, layout = this.getProcess(id).layout, address = id): void {
    const storeStandIn = new MemoryStore({ engine: this.engine, counts: this.counts })
    storeStandIn.faults.isDown = this._isStoreDown || (this._isPartitioned && layout.region !== this._layouts[0]?.region)
    const random = new SeededRandom(this._seed++)
    const incarnation = `${id}#${this._seed}`
    const board = new Blackboard(createInitialFleetState())
    const isEntry = id.includes('-e')
    this._regions.set(address, layout.region)
    this.peers.setPeerDown(address, false)
    const describe = (): Member => ({
      id,
      role: isEntry ? 'entry' : 'agent',
      incarnation,
      region: layout.region,
      failureDomain: layout.failureDomain,
      address,
      state: board.get('isLeaving') ? 'leaving' : 'alive',
      ...(isEntry ? {} : { agent: { rack: `r-${id.length}`, slots: 8, maxConnections: 60, cores: 130, memoryGb: 500, accelerators: 8 } })
    })
    const node = new FleetNode({
      id,
      region: layout.region,
      failureDomain: layout.failureDomain,
      role: isEntry ? 'entry' : 'agent',
      join: this._layouts.filter(other => other.region === layout.region && other.entries > 0).map(other => `${other.failureDomain}-e0`),
      prefix: PREFIX,
      board,
      store: new StoreClient({ store: storeStandIn, random }),
      peers: this.peers.createClient(address),
      rpc: this.peers.open(address),
      random,
      logger: this._logger,
      describe
    })
    this.processes.set(id, { id, layout, address, incarnation, board, storeStandIn, node, isRunning: true })
    void node.start()
  }

  getProcess (id: string): MemoryProcess {
    const found = this.processes.get(id)
    if (found === undefined) throw new Error(`invariant: the fleet has no process ${id}`)
    return found
  }

  /** Kills a process without notifying the other processes. */
  kill (id: string): void {
    const target = this.getProcess(id)
    target.isRunning = false
    target.storeStandIn.faults.isDown = true
    this.peers.setPeerDown(target.address, true)
    void target.node.close()
  }

  /** Stops a process gracefully: it announces that it leaves the fleet before it closes. */
  async stop (id: string): Promise<void> {
    const target = this.getProcess(id)
    target.board.set('isLeaving', true)
    await target.node.leave()
    await target.node.close()
    target.isRunning = false
    if (this.processes.get(id) === target) this.peers.setPeerDown(target.address, true)
  }

  /** Makes the store unavailable to all processes, or available again. */
  setStoreDown (isDown: boolean): void {
    this._isStoreDown = isDown
    this._updateFaults()
  }

  /** Disconnects or reconnects the regions. While they are disconnected, only the region of the first failure domain reaches the store. */
  setRegionsPartitioned (isPartitioned: boolean): void {
    this._isPartitioned = isPartitioned
    const processes = [...this.processes.values()]
    for (const a of processes) for (const b of processes) if (a.address < b.address && a.layout.region !== b.layout.region) this.peers.setLinkDown(a.address, b.address, isPartitioned)
    this._updateFaults()
  }

  /** Accepts a configuration at an entry: stores it, then puts it in force at that entry. Returns false if the entry can't reach the store. */
  acceptConfiguration (entryId: string, revision: number): boolean {
    const entry = this.getProcess(entryId)
    if (entry.storeStandIn.faults.isDown) return false
    const configuration = createConfiguration(revision)
    this.engine.put({ key: getConfigurationKey(PREFIX), value: JSON.stringify(configuration), expect: { kind: 'any' } })
    entry.node.holder.applyIfNewer(configuration)
    return true
  }

  /** Sends an accepted configuration revision to a process again, as a message that arrives late. */
  sendDelayedUpdate (id: string, revision: number): void {
    const { address, layout: { region, failureDomain } } = this.getProcess(id)
    const news = { configuration: createConfiguration(revision), domains: [] }
    void this.peers.createClient(address).call(address, 'relay', { news, from: { region, failureDomain } }, CALL_TIMEOUT_MS)
  }

  /** Closes all running processes. */
  async close (): Promise<void> {
    await Promise.all(this.running.map(one => one.node.close()))
  }

  private _updateFaults (): void {
    for (const process of this.running) process.storeStandIn.faults.isDown = this._isStoreDown || (this._isPartitioned && process.layout.region !== this._layouts[0]?.region)
  }
}

function createConfiguration (revision: number): Configuration {
  return { revision, declarations: createSampleDeclarations(), acceptedAt: 0, nonce: `n${revision}`, acceptedBy: 'test' }
}
