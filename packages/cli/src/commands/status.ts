/**
 * `dragonflylever status`: shows the state of the fleet as an entry knows it, without reading the store.
 */
import type { FleetStatus } from '@dragonflylever/protocol'

import { ExitCode, createFlagCommand } from '../flagCommand.js'
import { callEntry } from '../operators/callEntry.js'
import { OPERATOR_FLAGS } from '../operators/operatorFlags.js'

const FLAGS = { json: { type: 'boolean', help: 'print JSON' }, ...OPERATOR_FLAGS } as const

export const statusCommand = createFlagCommand({
  name: 'status',
  usage: 'status [--json]',
  help: 'show the revision in force, members, leaders and the store as one entry sees them',
  flags: FLAGS,
  minArguments: 0,
  maxArguments: 0,
  async execute (flags, output) {
    const result = await callEntry('status', flags, output, client => client.readStatus())
    if (result.kind === 'ended') return result.exitCode
    if (flags.values.json === true) output.out(JSON.stringify(result.value, null, 2))
    else for (const line of formatStatus(result.value)) output.out(line)
    return ExitCode.ok
  }
})

function formatStatus (status: FleetStatus): string[] {
  const behind = status.processes.filter(process => process.isBehind).map(process => process.id)
  const budget = status.store.budgetUsed === undefined ? '' : `, ${Math.round(status.store.budgetUsed * 100)}% of its call budget used`
  const summary = [
    `as ${status.entry} sees it: revision ${status.revision}, ${status.processes.length} processes, store ${status.store.health}${budget}`,
    behind.length === 0 ? 'no process is behind' : `behind: ${behind.join(', ')}`
  ]
  const duties = status.duties.map(duty => `leader of ${duty.name}: ${duty.holder}, epoch ${duty.epoch}`)
  const rows = status.processes.map(process => [process.id, process.role, process.state, process.region, process.failureDomain, process.address, `revision ${process.revision ?? 'unknown'}`, `last seen ${process.silentMs} ms ago`])
  return [...summary, ...duties, ...formatRows(rows)]
}

function formatRows (rows: ReadonlyArray<readonly string[]>): string[] {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
}
