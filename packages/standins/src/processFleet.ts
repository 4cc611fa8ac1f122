/**
 * Starts a fleet of daemon processes on loopback, with stand-ins for the store, the endpoints and the workers. Used by tests and benchmarks.
 */
import { createAgentSettings, createEntrySettings } from './sampleFleet.js'
import { openSampleStore } from './sampleStore.js'
import { DaemonProcess } from './processHarness.js'
import { EndpointStandIn } from './endpointStandIn.js'
import type { StoreStandIn } from './storeStandIn.js'
import { WorkerStandIn } from './workerStandIn.js'

/** Number of entries and agents to start; `binary` is the path of the daemon's compiled main module. */
export interface ProcessFleetOptions {
  readonly binary: string
  readonly entries: number
  readonly agents: number
}

/** An agent process with its endpoint and worker stand-ins. */
export interface FleetAgent {
  readonly id: string
  daemon: DaemonProcess
  readonly endpoint: EndpointStandIn
  readonly worker: WorkerStandIn
}

export class ProcessFleet {
  readonly store: StoreStandIn
  readonly entries: DaemonProcess[] = []
  readonly agents: FleetAgent[] = []
  private readonly _binary: string

  private constructor (store: StoreStandIn, binary: string) {
    this.store = store
    this._binary = binary
  }

  /** Starts the store stand-in, then the entries and the agents. */
  static async start (options: ProcessFleetOptions): Promise<ProcessFleet> {
    const store = await openSampleStore()
    const fleet = new ProcessFleet(store, options.binary)
    for (let index = 1; index <= options.entries; index++) await fleet.addEntry(`entry-${index}`)
    for (let index = 1; index <= options.agents; index++) await fleet.addAgent(`agent-${index}`)
    return fleet
  }

  /** Returns the URL at which the entry with an index accepts callers' requests. */
  getCallerUrl (index = 0): string {
    return `http://${this.entries[index]?.addresses.callers}`
  }

  /** Starts another entry. */
  async addEntry (id: string): Promise<DaemonProcess> {
    const entry = await DaemonProcess.start(this._binary, createEntrySettings({ id, storeUrl: this.store.url, join: this._listJoinAddresses() }))
    this.entries.push(entry)
    return entry
  }

  /** Starts another agent with its own endpoint and worker. */
  async addAgent (id: string): Promise<FleetAgent> {
    const endpoint = await EndpointStandIn.open()
    const worker = await WorkerStandIn.open()
    const agent = { id, endpoint, worker, daemon: await this._startAgent(id, endpoint, worker) }
    this.agents.push(agent)
    return agent
  }

  /** Starts a new process for an agent, with the same endpoint and worker. */
  async restartAgent (agent: FleetAgent): Promise<void> {
    agent.daemon = await this._startAgent(agent.id, agent.endpoint, agent.worker)
  }

  /** Starts a new process for an entry at its previous callers' and control addresses. */
  async restartEntry (index: number): Promise<void> {
    const { callers = '', control = '' } = this.entries[index]?.addresses ?? {}
    const settings = createEntrySettings({ id: `entry-${index + 1}`, storeUrl: this.store.url, join: this._listJoinAddresses() })
    this.entries[index] = await DaemonProcess.start(this._binary, { ...settings, listen: { ...settings.listen, callers, control } })
  }

  /** Kills all processes and closes the stand-ins. */
  async close (): Promise<void> {
    await Promise.all([...this.entries, ...this.agents.map(agent => agent.daemon)].map(daemon => daemon.kill()))
    await Promise.all(this.agents.flatMap(agent => [agent.endpoint.close(), agent.worker.close()]))
    await this.store.close()
  }

  private async _startAgent (id: string, endpoint: EndpointStandIn, worker: WorkerStandIn): Promise<DaemonProcess> {
    const settings = createAgentSettings({ id, storeUrl: this.store.url, endpointUrl: endpoint.url, workerUrl: worker.url, join: this._listJoinAddresses() })
    return DaemonProcess.start(this._binary, settings)
  }

  private _listJoinAddresses (): string[] {
    return this.entries.filter(entry => entry.isRunning).map(entry => entry.addresses.control)
  }
}
