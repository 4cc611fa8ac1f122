/**
 * `dragonflylever explain --class NAME`: explains why requests of a class and organisation wait or are shed at an entry.
 */
import type { GroupReport, QueueReport } from '@dragonflylever/protocol'
import type { ParsedFlags } from '@dragonflylever/runtime/flags'

import type { CommandOutput } from '../command.js'
import { ExitCode, getStringFlag } from '../flagCommand.js'
import { callEntry } from './callEntry.js'

/** Reads the queue report of an entry and prints the part about a class and, if one is given, an organisation. */
export async function explainQueue (className: string, flags: ParsedFlags, output: CommandOutput): Promise<number> {
  const result = await callEntry('explain', flags, output, client => client.readQueue())
  if (result.kind === 'ended') return result.exitCode
  const report = selectGroups(result.value, className, getStringFlag(flags, 'organisation'))
  if (flags.values.json === true) output.out(JSON.stringify(report, null, 2))
  else for (const line of formatReport(report, className)) output.out(line)
  return ExitCode.ok
}

function selectGroups (report: QueueReport, className: string, organisation: string | undefined): QueueReport {
  const isSelected = (row: { className: string, organisation: string }): boolean =>
    row.className === className && (organisation === undefined || row.organisation === organisation)
  return { ...report, groups: report.groups.filter(isSelected), recentlyShed: report.recentlyShed.filter(isSelected) }
}

function formatReport (report: QueueReport, className: string): string[] {
  const summary = `this entry uses up to ${report.slots} slots: ${report.running} requests are running, ${report.waiting} are waiting`
  const heldBackSlots = report.heldBack[className] ?? 0
  const groups = report.groups.map(formatGroup)
  const shed = report.recentlyShed.map(one => `shed: ${one.organisation}, caller ${one.caller}, ${one.reason}, asked to retry after ${one.retryAfterMs} ms`)
  const groupLines = groups.length === 0 ? [`this entry has received no request of class ${className}`] : groups
  return [summary, `slots held back for class ${className}: ${heldBackSlots}`, ...groupLines, ...shed]
}

function formatGroup (group: GroupReport): string {
  const share = `${group.running} running of a share of ${group.shareSlots.toFixed(1)} slots (guaranteed ${group.guaranteedSlots.toFixed(1)} over all classes)`
  const wait = `a new caller would wait ${Math.round(group.expectedWaitMs)} ms, a run takes ${Math.round(group.meanRunMs)} ms`
  return `${group.organisation}: ${group.waiting} waiting from ${group.waitingCallers} callers, ${share}; ${wait}; ${group.shed} shed so far`
}
