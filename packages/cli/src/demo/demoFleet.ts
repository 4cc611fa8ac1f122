/**
 * A complete fleet within one process: an entry, agents in two regions, and stand-ins of the platform's services.
 */
import { AgentProcess, EntryProcess } from '@dragonflylever/daemon'
import { Lifecycle, createLogger } from '@dragonflylever/runtime'
import { EndpointStandIn, WorkerStandIn, createAgentSettings, createEntrySettings, openSampleStore } from '@dragonflylever/standins'

/** Identities and locations of the demo's agents. */
const AGENTS = [
  { id: 'agent-1', region: 'morava', failureDomain: 'jihlava' },
  { id: 'agent-2', region: 'morava', failureDomain: 'trebic' },
  { id: 'agent-3', region: 'cechy', failureDomain: 'pelhrimov' }
] as const

export class DemoFleet {
  readonly endpoints: EndpointStandIn[] = []
  readonly workers: WorkerStandIn[] = []
  private readonly _lifecycle = new Lifecycle()
  private readonly _logger = createLogger({ level: 'warn', processId: 'demo' })
  private _callerUrl = ''

  /** Starts the store, the entry and the agents with their endpoints and workers on free loopback ports. */
  static async start (): Promise<DemoFleet> {
    const fleet = new DemoFleet()
    await fleet._openResources()
    return fleet
  }

  /** URL of the port at which the entry accepts callers' requests. */
  get callerUrl (): string {
    return this._callerUrl
  }

  async close (): Promise<void> {
    await this._lifecycle.close()
  }

  private async _openResources (): Promise<void> {
    const store = await openSampleStore()
    this._lifecycle.add('store', () => store.close())
    const entrySettings = createEntrySettings({ id: 'entry-1', storeUrl: store.url })
    const entry = await EntryProcess.start(entrySettings, { logger: this._logger })
    this._lifecycle.add('entry', () => entry.stop())
    this._callerUrl = `http://${entry.callerAddress}`
    for (const identity of AGENTS) await this._openAgent(identity, store.url, entry.controlAddress)
  }

  private async _openAgent (identity: typeof AGENTS[number], storeUrl: string, entryAddress: string): Promise<void> {
    const endpoint = await EndpointStandIn.open()
    this.endpoints.push(endpoint)
    this._lifecycle.add(`endpoint of ${identity.id}`, () => endpoint.close())
    const worker = await WorkerStandIn.open()
    this.workers.push(worker)
    this._lifecycle.add(`worker of ${identity.id}`, () => worker.close())
    const settings = createAgentSettings({ ...identity, storeUrl, endpointUrl: endpoint.url, workerUrl: worker.url, join: [entryAddress] })
    const agent = await AgentProcess.start(settings, { logger: this._logger })
    this._lifecycle.add(identity.id, () => agent.stop())
  }
}
