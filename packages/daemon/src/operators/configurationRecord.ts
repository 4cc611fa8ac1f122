/**
 * The accepted configuration as stored: the configuration with the history of the latest accepted revisions.
 * Both are stored as one value, so that a single compare-and-swap writes them together.
 */
import { MAX_HISTORY } from '@dragonflylever/protocol'
import type { ApplyRequest, Configuration, Declarations, HistoryEntry } from '@dragonflylever/protocol'
import type { StoredValue } from '@dragonflylever/adapters'

export interface ConfigurationRecord extends Configuration {
  /** Latest accepted revisions, newest first; the first entry is the revision of this record itself. */
  readonly history: readonly HistoryEntry[]
}

/** Returns the store key under which a revision is kept after it was replaced. */
export function getHistoryKey (prefix: string, revision: number): string {
  return `${prefix}/config/history/${revision}`
}

/** Decodes a stored record; a record stored without a history gets a history with its own entry. */
export function decodeConfigurationRecord (stored: StoredValue): ConfigurationRecord {
  const record = JSON.parse(stored.value) as Configuration & { history?: HistoryEntry[] }
  return { ...record, history: record.history ?? [makeHistoryEntry(record)] }
}

/** Creates the record that replaces `current`. `acceptedAt` is in milliseconds since the Unix epoch. */
export function makeConfigurationRecord (request: ApplyRequest, declarations: Declarations, current: ConfigurationRecord | undefined, acceptedAt: number): ConfigurationRecord {
  const configuration = { revision: request.expect + 1, declarations, acceptedAt, nonce: request.nonce, acceptedBy: request.by }
  return { ...configuration, history: [makeHistoryEntry(configuration), ...current?.history ?? []].slice(0, MAX_HISTORY) }
}

/** Returns the revision that was accepted under a nonce; undefined when the record's history has no such revision. */
export function findAcceptedRevision (record: ConfigurationRecord, nonce: string): number | undefined {
  return record.history.find(entry => entry.nonce === nonce)?.revision
}

/** Returns true when the record's history contains every accepted revision above `revision`. */
export function hasHistorySince (record: ConfigurationRecord, revision: number): boolean {
  const oldest = record.history.at(-1)?.revision ?? record.revision
  return oldest <= revision + 1
}

function makeHistoryEntry (configuration: Configuration): HistoryEntry {
  const { revision, acceptedAt, acceptedBy, nonce } = configuration
  return { revision, acceptedAt, acceptedBy, nonce }
}
