/**
 * Directory of the agents' addresses, read from the store at intervals.
 */
import type { Store } from '@dragonflylever/adapters'
import { parseJson } from '@dragonflylever/protocol'
import type { Logger } from '@dragonflylever/runtime'
import * as z from 'zod'

import type { GraphKeys } from '../jobPlanner/graphKeys.js'

const nodeSchema = z.object({ address: z.string(), region: z.string() })
/** Address and region of an agent's process, as stored in its record. */
export type NodeRecord = z.infer<typeof nodeSchema>

/**
 * Time between two reads, in milliseconds: at least the former, and the latter for each agent, since each read lists all of them. With 630 agents a read takes 100 KB; every 10 s that
 * would be more than the 4 KB/s that control may cost a host.
 */
const MIN_REFRESH_MS = 10_000
const REFRESH_MS_PER_AGENT = 100
const RETRY_MS = 500

/** Dependencies of {@link NodeDirectory}. */
export interface NodeDirectoryDependencies {
  readonly store: Store
  readonly keys: GraphKeys
  readonly region: string
  readonly logger: Logger
}

export class NodeDirectory {
  private readonly _dependencies: NodeDirectoryDependencies
  private _addresses: readonly string[] = []
  private _timer: NodeJS.Timeout | undefined
  private _isClosed = false

  constructor (dependencies: NodeDirectoryDependencies) {
    this._dependencies = dependencies
    void this._refresh()
  }

  /** Addresses of the agents, those of the same region first. */
  get addresses (): readonly string[] {
    return this._addresses
  }

  close (): void {
    this._isClosed = true
    clearTimeout(this._timer)
  }

  private async _refresh (): Promise<void> {
    const { store, keys, region } = this._dependencies
    const listed = await store.list(keys.nodes)
    if (this._isClosed) return
    if (listed.kind === 'ok') {
      const nodes = listed.values.flatMap(value => decodeNodeRecord(value.value) ?? [])
      const localNodes = nodes.filter(node => node.region === region)
      this._addresses = [...localNodes, ...nodes.filter(node => node.region !== region)].map(node => node.address)
    }
    const count = this._addresses.length
    this._timer = setTimeout(() => { void this._refresh() }, count === 0 ? RETRY_MS : Math.max(MIN_REFRESH_MS, count * REFRESH_MS_PER_AGENT))
  }
}

/** Decodes an agent's stored record; returns undefined if the text is not a valid record. */
export function decodeNodeRecord (text: string): NodeRecord | undefined {
  const checked = nodeSchema.safeParse(parseJson(text))
  return checked.success ? checked.data : undefined
}
