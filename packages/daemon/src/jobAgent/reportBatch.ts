/**
 * Selects the workers' reports that one call to the planner carries, so that the call stays within a size limit. Workers that are left out come first in
 * the next call. After the planner has refused a call for its contents, the next calls carry less, down to one report each, so that one report that it
 * can't take doesn't keep the others from it.
 */
import { listInTurn } from '@dragonflylever/core'
import type { WorkerReport } from '@dragonflylever/core/graphs/index'
import { MAX_CALL_BYTES, MAX_JSON_CHARACTER_BYTES } from '@dragonflylever/protocol'

/** Maximum size of the reports of one call, in bytes; leaves room for the rest of the call. */
const MAX_REPORT_BYTES = MAX_CALL_BYTES * 3 / 4
/** The limit is not halved below this size, in bytes; calls that were still refused carry one report each. */
const MIN_REPORT_BYTES = 4_096
/** Upper bound on the size of the names of the fields and the numbers of a listed run or order, in bytes. */
const LISTING_BYTES = 200
/** Upper bound on the size of the fields of a report outside its lists, in bytes: they hold a worker's announcement. */
const HEADER_BYTES = 8_192

/** Reports of one call. */
export interface ReportSelection {
  readonly reports: readonly WorkerReport[]
  /** Upper bound on their size, in bytes. */
  readonly bytes: number
  /** Number of reports that have to wait for the next call. */
  readonly leftOut: number
  /** Number of reports whose lists were shortened. */
  readonly shortened: number
}

export class ReportBatch {
  private _maxBytes = MAX_REPORT_BYTES
  /** Id of the worker whose report comes first in the next call; undefined if the last call had all reports. */
  private _firstId: string | undefined

  /** Selects the reports of the next call. A report that exceeds the limit by itself is sent with shorter lists, which it says. */
  select (all: readonly WorkerReport[]): ReportSelection {
    const first = Math.max(0, all.findIndex(({ key }) => key.id === this._firstId))
    const reports: WorkerReport[] = []
    let bytes = 0
    let shortened = 0
    for (const report of listInTurn(all, first)) {
      const fitted = cutReport(report, MAX_REPORT_BYTES)
      const size = measureReport(fitted, MAX_REPORT_BYTES - bytes)
      if (reports.length > 0 && bytes + size > this._maxBytes) {
        this._firstId = report.key.id
        return { reports, bytes, leftOut: all.length - reports.length, shortened }
      }
      reports.push(fitted)
      bytes += size
      if (fitted !== report) shortened++
    }
    this._firstId = undefined
    return { reports, bytes, leftOut: 0, shortened }
  }

  /** Records that the planner has refused the last call for its contents. Returns the new limit in bytes. */
  recordRefusal (): number {
    this._maxBytes = Math.max(MIN_REPORT_BYTES, this._maxBytes / 2)
    return this._maxBytes
  }

  /** Lifts the limits that refusals have set, for example for another planner. */
  clearRefusals (): void {
    this._maxBytes = MAX_REPORT_BYTES
  }
}

/** Returns the size of a report in bytes; an upper bound if that is within `limit`, which saves the cost of encoding a small report twice. */
function measureReport (report: WorkerReport, limit: number): number {
  let characters = 0
  for (const { task, checkpoint } of report.running) characters += task.length + checkpoint.length
  for (const { task, checkpoint } of report.ended) characters += task.length + checkpoint.length
  for (const { task, reason } of report.orders) characters += task.length + reason.length
  let listings = report.running.length + report.ended.length + report.orders.length
  for (const { task } of report.crashes.flatMap(({ suspects }) => suspects)) {
    listings++
    characters += task.length
  }
  const bound = HEADER_BYTES + listings * LISTING_BYTES + characters * MAX_JSON_CHARACTER_BYTES
  return bound <= limit ? bound : Buffer.byteLength(JSON.stringify(report))
}

/** Halves the lists of a report until it is within a limit, and marks it as partial. */
function cutReport (report: WorkerReport, maxBytes: number): WorkerReport {
  let fitted = report
  while (measureReport(fitted, maxBytes) > maxBytes) {
    const { running, ended, orders, crashes } = fitted
    if (running.length + ended.length + orders.length + crashes.length === 0) break
    fitted = { ...fitted, running: cutHalf(running), ended: cutHalf(ended), orders: cutHalf(orders), crashes: cutHalf(crashes), isPartial: true }
  }
  return fitted
}

function cutHalf<T> (list: readonly T[]): T[] {
  return list.slice(0, Math.floor(list.length / 2))
}
