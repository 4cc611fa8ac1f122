/**
 * Fleet of one entry, several agents and their endpoints, each in a separate process, for measurements.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'

import { DaemonProcess, createAgentSettings, createEntrySettings, openSampleStore } from '@dragonflylever/standins'
import type { StoreStandIn } from '@dragonflylever/standins'

const BINARY = fileURLToPath(import.meta.resolve('@dragonflylever/daemon/main'))
const ENDPOINT_MAIN = fileURLToPath(new URL('./endpointMain.js', import.meta.url))

export class PathFleet {
  /** URL of an endpoint that is called directly, for comparison. */
  directUrl = ''
  private readonly _store: StoreStandIn
  private readonly _endpoints: ChildProcess[] = []
  private readonly _agents: DaemonProcess[] = []
  private _entry: DaemonProcess | undefined

  private constructor (store: StoreStandIn) {
    this._store = store
  }

  /** Starts a fleet of one entry and `agents` agents. */
  static async start (agents: number): Promise<PathFleet> {
    const store = await openSampleStore()
    const fleet = new PathFleet(store)
    fleet._entry = await DaemonProcess.start(BINARY, createEntrySettings({ id: 'entry-1', storeUrl: store.url }))
    for (let index = 1; index <= agents; index++) await fleet._addAgent(`agent-${index}`)
    fleet.directUrl = await fleet._startEndpoint()
    return fleet
  }

  get entry (): DaemonProcess {
    if (this._entry === undefined) throw new Error('invariant: the fleet has no entry process')
    return this._entry
  }

  /** Process of the first agent. */
  get agent (): DaemonProcess {
    const agent = this._agents[0]
    if (agent === undefined) throw new Error('invariant: the fleet has no agent process')
    return agent
  }

  get callerUrl (): string {
    return `http://${this.entry.addresses.callers}`
  }

  async close (): Promise<void> {
    await Promise.all([this.entry, ...this._agents].map(daemon => daemon.kill()))
    for (const endpoint of this._endpoints) endpoint.kill('SIGKILL')
    await this._store.close()
  }

  private async _addAgent (id: string): Promise<void> {
    const endpointUrl = await this._startEndpoint()
    const settings = createAgentSettings({ id, storeUrl: this._store.url, endpointUrl, join: [this.entry.addresses.control] })
    this._agents.push(await DaemonProcess.start(BINARY, settings))
  }

  private async _startEndpoint (): Promise<string> {
    const child = spawn(process.execPath, [ENDPOINT_MAIN], { stdio: ['ignore', 'pipe', 'inherit'] })
    this._endpoints.push(child)
    const [chunk] = await once(child.stdout, 'data') as [Buffer]
    return String(chunk).trim()
  }
}
