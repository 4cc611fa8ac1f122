/**
 * Directory of the agents' addresses, read from the store at intervals.
 */
import type { Store } from '@dragonflylever/adapters'
import type { Random } from '@dragonflylever/core'
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
/** Number of agents of the same region that are asked for each one of another region. */
const LOCAL_PER_REMOTE = 3

/** Dependencies of {@link NodeDirectory}. */
export interface NodeDirectoryDependencies {
  readonly store: Store
  readonly keys: GraphKeys
  readonly region: string
  /** Shuffles the agents. */
  readonly random: Random
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

  /** Addresses of the agents in the order in which to ask them for help: see {@link mergeRegions}. */
  get addresses (): readonly string[] {
    return this._addresses
  }

  close (): void {
    this._isClosed = true
    clearTimeout(this._timer)
  }

  private async _refresh (): Promise<void> {
    const { store, keys, region, random } = this._dependencies
    const listed = await store.list(keys.nodes)
    if (this._isClosed) return
    if (listed.kind === 'ok') {
      const nodes = listed.values.flatMap(value => decodeNodeRecord(value.value) ?? [])
      const listAddresses = (isLocal: boolean): string[] => nodes.filter(node => (node.region === region) === isLocal).map(node => node.address)
      this._addresses = mergeRegions(orderAtRandom(listAddresses(true), random), orderAtRandom(listAddresses(false), random))
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

/** Returns {@link LOCAL_PER_REMOTE} local addresses for each remote one, so that the loss of a whole region is found out soon. */
function mergeRegions (local: readonly string[], remote: readonly string[]): string[] {
  const mixed: string[] = []
  let remoteCount = 0
  for (const [index, address] of local.entries()) {
    mixed.push(address)
    if ((index + 1) % LOCAL_PER_REMOTE === 0) mixed.push(...remote.slice(remoteCount, ++remoteCount))
  }
  return [...mixed, ...remote.slice(remoteCount)]
}

/** Returns the addresses in random order: neighbours in the store's order share a failure domain and are often lost together. */
function orderAtRandom (addresses: readonly string[], random: Random): string[] {
  return addresses.map(address => ({ address, rank: random.sample() })).sort((a, b) => a.rank - b.rank).map(({ address }) => address)
}
