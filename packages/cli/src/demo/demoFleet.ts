/**
 * A whole fleet within this process: an entry, agents in two regions, and the stand-ins of the platform.
 */
import { AgentProcess, EntryProcess } from '@dragonflylever/daemon'
import { Lifecycle, createLogger } from '@dragonflylever/runtime'
import { EndpointStandIn, WorkerStandIn, createAgentSettings, createEntrySettings, openSampleStore } from '@dragonflylever/standins'

/** Places of the demo's agents. */
const PLACES = [
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

  /** Starts everything on free loopback ports. */
  static async start (): Promise<DemoFleet> {
    const fleet = new DemoFleet()
    await fleet._open()
    return fleet
  }

  /** URL for callers. */
  get callerUrl (): string {
    return this._callerUrl
  }

  async close (): Promise<void> {
    await this._lifecycle.close()
  }

  private async _open (): Promise<void> {
    const store = await openSampleStore()
    this._lifecycle.add('store', () => store.close())
    const entrySettings = createEntrySettings({ id: 'entry-1', storeUrl: store.url })
    const entry = await EntryProcess.start(entrySettings, { logger: this._logger })
    this._lifecycle.add('entry', () => entry.stop())
    this._callerUrl = `http://${entry.callerAddress}`
    for (const place of PLACES) await this._openAgent(place, store.url, entry.controlAddress)
  }

  private async _openAgent (place: typeof PLACES[number], storeUrl: string, entryAddress: string): Promise<void> {
    const endpoint = await EndpointStandIn.open()
    this.endpoints.push(endpoint)
    this._lifecycle.add(`endpoint of ${place.id}`, () => endpoint.close())
    const worker = await WorkerStandIn.open()
    this.workers.push(worker)
    this._lifecycle.add(`worker of ${place.id}`, () => worker.close())
    const settings = createAgentSettings({ ...place, storeUrl, endpointUrl: endpoint.url, workerUrl: worker.url, join: [entryAddress] })
    const agent = await AgentProcess.start(settings, { logger: this._logger })
    this._lifecycle.add(place.id, () => agent.stop())
  }
}
