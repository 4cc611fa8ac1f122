/**
 * Selects which parts of the progress of which jobs are stored in one transaction. Jobs take turns, and a job gets a limited share of a transaction, so that no
 * job stands in front of all others. A job whose records the store refuses is written by itself, and again after delays that grow.
 */
import { MAX_KEYS_PER_TRANSACTION } from '@dragonflylever/adapters'
import { listInTurn } from '@dragonflylever/core'
import { HEAD_PART } from '@dragonflylever/core/graphs/index'
import type { ChangedJob } from '@dragonflylever/core/graphs/index'

/** Number of keys of the leadership, and of a job's state, in a transaction. */
const LEADER_KEYS = 1
const STATE_KEYS = 1
/** Number of keys that a part adds to a transaction: a precondition and a put. */
const KEYS_PER_PART = 2
/** Maximum number of parts of one job, and of its dropped parts, in a transaction. */
const MAX_PARTS_PER_JOB = 4
const MAX_REMOVED_PARTS = 4
/** Maximum total size of the progress records in one transaction, in characters; well below the largest value that the store accepts. */
const MAX_BATCH_SIZE = 256 * 1024
/** Delays before a job is written again whose records were refused, in milliseconds. */
const MIN_REJECTED_DELAY_MS = 1_000
const MAX_REJECTED_DELAY_MS = 60_000

/** What a transaction stores of one job. */
export interface BatchEntry {
  readonly job: ChangedJob
  /** Encoded records by the name of their part. */
  readonly records: ReadonlyMap<string, string>
  /** Names of parts whose records are removed. */
  readonly removedParts: readonly string[]
}

/** Records a job's refusals: when it is written again, and how long it waited for that. */
interface RejectedJob {
  readonly delayMs: number
  readonly retryAt: number
}

type PartEncoder = (jobId: string, part: string) => string | undefined

export class ProgressBatches {
  /** Jobs that are written by themselves, since a transaction with them was refused. */
  private readonly _suspects = new Set<string>()
  private readonly _rejected = new Map<string, RejectedJob>()
  /** Id of the last job of the last transaction. */
  private _lastJobId: string | undefined

  /** Selects what the next transaction stores; empty if nothing is due. `now` is monotonic, in milliseconds. */
  select (jobs: readonly ChangedJob[], encodePart: PartEncoder, now: number): BatchEntry[] {
    const batch: BatchEntry[] = []
    let keys = LEADER_KEYS
    let size = 0
    for (const job of this._listInTurn(jobs)) {
      if (now < (this._rejected.get(job.jobId)?.retryAt ?? -Infinity)) continue
      const isSuspect = this._suspects.has(job.jobId)
      if (isSuspect && batch.length > 0) continue
      const entry = selectParts(job, encodePart, MAX_KEYS_PER_TRANSACTION - keys, batch.length === 0 ? Infinity : MAX_BATCH_SIZE - size)
      // A part may be gone since the jobs were listed.
      if (entry === undefined && batch.length === 0) continue
      if (entry === undefined) break
      batch.push(entry)
      this._lastJobId = job.jobId
      keys += countKeys(entry)
      size += measureEntry(entry)
      if (isSuspect) break
    }
    return batch
  }

  recordStored (batch: readonly BatchEntry[]): void {
    for (const { job } of batch) this.forgetJob(job.jobId)
  }

  /** Records that the store has refused a transaction for what it contains. Returns the delay after which its job is written again; undefined if it had several jobs. */
  recordRejection (batch: readonly BatchEntry[], now: number): number | undefined {
    for (const { job } of batch) this._suspects.add(job.jobId)
    const [only, ...others] = batch
    if (only === undefined || others.length > 0) return undefined
    const { jobId } = only.job
    const delayMs = Math.min(MAX_REJECTED_DELAY_MS, (this._rejected.get(jobId)?.delayMs ?? MIN_REJECTED_DELAY_MS / 2) * 2)
    this._rejected.set(jobId, { delayMs, retryAt: now + delayMs })
    return delayMs
  }

  /** Returns the time in milliseconds until a refused job is written again; undefined if there is none. */
  getRejectedDelay (now: number): number | undefined {
    if (this._rejected.size === 0) return undefined
    return Math.max(0, Math.min(...[...this._rejected.values()].map(({ retryAt }) => retryAt)) - now)
  }

  forgetJob (jobId: string): void {
    this._suspects.delete(jobId)
    this._rejected.delete(jobId)
  }

  /** Lists the jobs beginning with the one after the last that was written. */
  private _listInTurn (jobs: readonly ChangedJob[]): readonly ChangedJob[] {
    return listInTurn(jobs, jobs.findIndex(({ jobId }) => jobId === this._lastJobId) + 1)
  }
}

/** Encodes the parts of a job that fit into a transaction, at least one; undefined if none fits. */
function selectParts (job: ChangedJob, encodePart: PartEncoder, maxKeys: number, maxSize: number): BatchEntry | undefined {
  const records = new Map<string, string>()
  const removedParts = job.parts.includes(HEAD_PART) ? job.droppedParts.slice(0, MAX_REMOVED_PARTS) : []
  let keys = STATE_KEYS + removedParts.length
  let size = 0
  for (const part of job.parts.slice(0, MAX_PARTS_PER_JOB)) {
    const text = keys + KEYS_PER_PART > maxKeys ? undefined : encodePart(job.jobId, part)
    if (text === undefined || size + text.length > (records.size === 0 ? maxSize : Math.min(maxSize, MAX_BATCH_SIZE))) break
    records.set(part, text)
    keys += KEYS_PER_PART
    size += text.length
  }
  return records.size === 0 ? undefined : { job, records, removedParts }
}

function countKeys ({ records, removedParts }: BatchEntry): number {
  return STATE_KEYS + records.size * KEYS_PER_PART + removedParts.length
}

function measureEntry ({ records }: BatchEntry): number {
  return [...records.values()].reduce((sum, text) => sum + text.length, 0)
}
