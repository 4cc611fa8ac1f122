/**
 * The accepted configuration as the store holds it: the configuration with an index of the latest accepted revisions.
 * Index and configuration are one value, so that one compare-and-swap writes both.
 */
import { MAX_HISTORY } from '@dragonflylever/protocol'
import type { ApplyRequest, Configuration, Declarations, HistoryEntry } from '@dragonflylever/protocol'
import type { StoredValue } from '@dragonflylever/adapters'

export interface ConfigurationRecord extends Configuration {
  /** Newest first; the first entry is the record's own. */
  readonly history: readonly HistoryEntry[]
}

/** Returns the store key that keeps a replaced revision. */
export function getHistoryKey (prefix: string, revision: number): string {
  return `${prefix}/config/history/${revision}`
}

/** Decodes a stored record; a record without an index gets one of itself. */
export function decodeRecord (stored: StoredValue): ConfigurationRecord {
  const record = JSON.parse(stored.value) as Configuration & { history?: HistoryEntry[] }
  return { ...record, history: record.history ?? [makeEntry(record)] }
}

/** Makes the record that follows `current`. */
export function makeRecord (request: ApplyRequest, declarations: Declarations, current: ConfigurationRecord | undefined, acceptedAt: number): ConfigurationRecord {
  const configuration = { revision: request.expect + 1, declarations, acceptedAt, nonce: request.nonce, acceptedBy: request.by }
  return { ...configuration, history: [makeEntry(configuration), ...current?.history ?? []].slice(0, MAX_HISTORY) }
}

/** Returns the revision at which a nonce was accepted, as far as the index reaches. */
export function findAccepted (record: ConfigurationRecord, nonce: string): number | undefined {
  return record.history.find(entry => entry.nonce === nonce)?.revision
}

/** True when the index tells of every revision above `revision`. */
export function isIndexedSince (record: ConfigurationRecord, revision: number): boolean {
  const oldest = record.history.at(-1)?.revision ?? record.revision
  return oldest <= revision + 1
}

function makeEntry (configuration: Configuration): HistoryEntry {
  const { revision, acceptedAt, acceptedBy, nonce } = configuration
  return { revision, acceptedAt, acceptedBy, nonce }
}
