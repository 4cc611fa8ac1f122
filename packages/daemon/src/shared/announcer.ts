/**
 * Tells other processes of this one: a heartbeat each interval, and a word when it leaves.
 */
import type { Member, PeerRpc } from '@dragonflylever/protocol'

import type { ConfigurationHolder } from './configurationHolder.js'

const INTERVAL_MS = 500
const TIMEOUT_MS = 1_000

/** What the announcer works with. */
export interface AnnouncerParts {
  readonly peers: PeerRpc
  readonly holder: ConfigurationHolder
  /** Control addresses of the processes to tell. */
  readonly targets: readonly string[]
  /** Returns this process's member record as it is now. */
  readonly describe: () => Member
  /** Hears of the slots of the whole fleet. */
  readonly noteFleetSlots?: (slots: number) => void
}

export class Announcer {
  private readonly _parts: AnnouncerParts
  private _timer: NodeJS.Timeout | undefined

  constructor (parts: AnnouncerParts) {
    this._parts = parts
  }

  /** Sends the first heartbeat and keeps on. */
  async start (): Promise<void> {
    this._timer = setInterval(() => { void this._announce() }, INTERVAL_MS)
    await this._announce()
  }

  /** Says at once that this process takes no new work; heartbeats go on until it has finished the old. */
  async leave (): Promise<void> {
    await this._announce()
  }

  /** Ends the heartbeats and says that this process has ended. */
  async close (): Promise<void> {
    clearInterval(this._timer)
    const member = this._parts.describe()
    await Promise.all(this._parts.targets.map(target => this._parts.peers.call(target, 'leave', { member }, TIMEOUT_MS)))
  }

  private async _announce (): Promise<void> {
    await Promise.all(this._parts.targets.map(target => this._tell(target)))
  }

  private async _tell (target: string): Promise<void> {
    const params = { member: this._parts.describe(), revision: this._parts.holder.revision }
    const outcome = await this._parts.peers.call(target, 'heartbeat', params, TIMEOUT_MS)
    if (outcome.kind === 'ok' && outcome.value.fleetSlots !== undefined) this._parts.noteFleetSlots?.(outcome.value.fleetSlots)
    if (outcome.kind === 'ok' && outcome.value.configuration !== undefined) this._parts.holder.offer(outcome.value.configuration)
  }
}
