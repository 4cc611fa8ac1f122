/**
 * A fleet of separate processes on loopback with the platform's stand-ins, for tests and benches.
 */
import { createAgentSettings, createEntrySettings } from './sampleFleet.js'
import { openSampleStore } from './sampleStore.js'
import { DaemonProcess } from './processHarness.js'
import { EndpointStandIn } from './endpointStandIn.js'
import type { StoreStandIn } from './storeStandIn.js'
import { WorkerStandIn } from './workerStandIn.js'

/** How many processes, and the daemon's compiled main module. */
export interface ProcessFleetOptions {
  readonly binary: string
  readonly entries: number
  readonly agents: number
}

/** An agent with its endpoint. */
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

  /** Starts stand-ins, entries and agents. */
  static async start (options: ProcessFleetOptions): Promise<ProcessFleet> {
    const store = await openSampleStore()
    const fleet = new ProcessFleet(store, options.binary)
    for (let index = 1; index <= options.entries; index++) await fleet.addEntry(`entry-${index}`)
    for (let index = 1; index <= options.agents; index++) await fleet.addAgent(`agent-${index}`)
    return fleet
  }

  /** URL for callers of an entry. */
  getCallerUrl (index = 0): string {
    return `http://${this.entries[index]?.addresses.callers}`
  }

  /** Starts one more entry. */
  async addEntry (id: string): Promise<DaemonProcess> {
    const entry = await DaemonProcess.start(this._binary, createEntrySettings({ id, storeUrl: this.store.url, join: this._listJoin() }))
    this.entries.push(entry)
    return entry
  }

  /** Starts one more agent with an endpoint of its own. */
  async addAgent (id: string): Promise<FleetAgent> {
    const endpoint = await EndpointStandIn.open()
    const worker = await WorkerStandIn.open()
    const agent = { id, endpoint, worker, daemon: await this._startAgent(id, endpoint, worker) }
    this.agents.push(agent)
    return agent
  }

  /** Starts an agent's process anew at the same endpoint. */
  async restartAgent (agent: FleetAgent): Promise<void> {
    agent.daemon = await this._startAgent(agent.id, agent.endpoint, agent.worker)
  }

  /** Starts an entry's process anew at its addresses. */
  async restartEntry (index: number): Promise<void> {
    const { callers = '', control = '' } = this.entries[index]?.addresses ?? {}
    const settings = createEntrySettings({ id: `entry-${index + 1}`, storeUrl: this.store.url, join: this._listJoin() })
    this.entries[index] = await DaemonProcess.start(this._binary, { ...settings, listen: { ...settings.listen, callers, control } })
  }

  /** Ends all processes and closes the stand-ins. */
  async close (): Promise<void> {
    await Promise.all([...this.entries, ...this.agents.map(agent => agent.daemon)].map(daemon => daemon.kill()))
    await Promise.all(this.agents.flatMap(agent => [agent.endpoint.close(), agent.worker.close()]))
    await this.store.close()
  }

  private async _startAgent (id: string, endpoint: EndpointStandIn, worker: WorkerStandIn): Promise<DaemonProcess> {
    const settings = createAgentSettings({ id, storeUrl: this.store.url, endpointUrl: endpoint.url, workerUrl: worker.url, join: this._listJoin() })
    return DaemonProcess.start(this._binary, settings)
  }

  private _listJoin (): string[] {
    return this.entries.filter(entry => entry.isRunning).map(entry => entry.addresses.control)
  }
}
