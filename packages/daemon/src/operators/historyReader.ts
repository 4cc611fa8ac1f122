/**
 * Reads the accepted configuration revisions from the store.
 */
import type { HistoryEntry } from '@dragonflylever/protocol'
import type { Store, Unavailable } from '@dragonflylever/adapters'

import { getConfigurationKey } from '../shared/configurationWatcher.js'
import { decodeConfigurationRecord, getHistoryKey } from './configurationRecord.js'
import type { ConfigurationRecord } from './configurationRecord.js'

export type HistoryOutcome = { readonly kind: 'ok', readonly entries: readonly HistoryEntry[] } | Unavailable
export type RevisionOutcome = { readonly kind: 'ok', readonly record: ConfigurationRecord | undefined } | Unavailable

export class HistoryReader {
  private readonly _store: Store
  private readonly _prefix: string

  constructor (store: Store, prefix: string) {
    this._store = store
    this._prefix = prefix
  }

  /** Lists the latest accepted configuration revisions, newest first. */
  async listRevisions (): Promise<HistoryOutcome> {
    const current = await this._readRecord(getConfigurationKey(this._prefix))
    if (current.kind !== 'ok') return current
    return { kind: 'ok', entries: current.record?.history ?? [] }
  }

  /** Reads the record of an accepted revision; `record` is undefined when the revision is not in the store. */
  async readRevision (revision: number): Promise<RevisionOutcome> {
    const current = await this._readRecord(getConfigurationKey(this._prefix))
    if (current.kind !== 'ok' || current.record?.revision === revision) return current
    return this._readRecord(getHistoryKey(this._prefix, revision))
  }

  private async _readRecord (key: string): Promise<RevisionOutcome> {
    const read = await this._store.get(key)
    if (read.kind !== 'ok') return read
    return { kind: 'ok', record: read.value === undefined ? undefined : decodeConfigurationRecord(read.value) }
  }
}
