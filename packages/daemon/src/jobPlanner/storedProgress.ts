/**
 * Progress records as the store held them when a planner's session began, until their jobs are read.
 */
import type { StoredValue } from '@dragonflylever/adapters'
import { HEAD_PART } from '@dragonflylever/core/graphs/index'
import type { JobGraph, ProgressRecord } from '@dragonflylever/core/graphs/index'

import type { GraphKeys } from './graphKeys.js'
import { decodeProgress } from './progressRecord.js'

/** Progress of one job. `unreadable`: its runs are unknown and must not start again. */
export type StoredProgressResult =
  | { readonly kind: 'none' }
  | { readonly kind: 'read', readonly progress: ProgressRecord }
  | { readonly kind: 'unreadable', readonly revision: number }

export class StoredProgress {
  private readonly _keys: GraphKeys
  /** Records by job id and part. */
  private readonly _records = new Map<string, Map<string, StoredValue>>()

  constructor (keys: GraphKeys) {
    this._keys = keys
  }

  add (value: StoredValue): void {
    const { jobId, part } = this._keys.parseProgressKey(value.key)
    const parts = this._records.get(jobId) ?? new Map<string, StoredValue>()
    this._records.set(jobId, parts.set(part, value))
  }

  has (jobId: string): boolean {
    return this._records.has(jobId)
  }

  /** Lists the parts of a job's progress with their revisions; the head is listed with revision 0 if there is none. */
  listRevisions (jobId: string): Array<readonly [part: string, revision: number]> {
    const parts = this._records.get(jobId)
    const listed = [...parts ?? []].map(([part, { modRevision }]) => [part, modRevision] as const)
    return parts?.has(HEAD_PART) === true ? listed : [[HEAD_PART, 0], ...listed]
  }

  read (graph: JobGraph): StoredProgressResult {
    const parts = this._records.get(graph.id)
    if (parts === undefined) return { kind: 'none' }
    const head = parts.get(HEAD_PART)
    const others = [...parts].filter(([part]) => part !== HEAD_PART).map(([, { value }]) => value)
    const progress = head === undefined ? undefined : decodeProgress(graph, head.value, others)
    return progress === undefined ? { kind: 'unreadable', revision: head?.modRevision ?? 0 } : { kind: 'read', progress }
  }

  delete (jobId: string): void {
    this._records.delete(jobId)
  }
}
