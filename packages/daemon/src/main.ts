#!/usr/bin/env node
/**
 * The daemon `dragonflyleverd`: runs one process in the role that its settings specify.
 */
import { readFileSync } from 'node:fs'

import { formatFault, parseDocument, settingsSchema } from '@dragonflylever/protocol'
import type { Settings } from '@dragonflylever/protocol'
import { formatFlags, parseFlags } from '@dragonflylever/runtime/flags'

import { VERSION } from './version.js'

const ExitCode = { ok: 0, failed: 1, badInput: 2 } as const

const FLAGS = {
  settings: { type: 'string', help: 'settings file of this process (JSON with comments)' },
  check: { type: 'boolean', help: 'check the settings and exit' },
  help: { type: 'boolean', help: 'print this page' },
  version: { type: 'boolean', help: 'print the version' }
} as const

function formatHelp (): string {
  return `dragonflyleverd: runs one process of the system\n\nUsage: dragonflyleverd --settings FILE [--check]\n\n${formatFlags(FLAGS)}\n`
}

function readSettings (file: string): Settings | undefined {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    process.stderr.write(`${file}: can't be read: ${(error as Error).message}\n`)
    return undefined
  }
  const result = parseDocument(text, settingsSchema)
  if (result.kind === 'valid') return result.value
  for (const fault of result.faults) process.stderr.write(`${formatFault(file, fault)}\n`)
  return undefined
}

/** Starts the process in the role named in its settings; loads only the code of that role. */
async function startProcess (settings: Settings): Promise<{ stop (): Promise<void> }> {
  if (settings.role === 'entry') {
    const { EntryProcess } = await import('./entry/entryProcess.js')
    return EntryProcess.start(settings)
  }
  const { AgentProcess } = await import('./agent/agentProcess.js')
  return AgentProcess.start(settings)
}

async function run (settings: Settings): Promise<number> {
  const running = await startProcess(settings)
  await new Promise<void>(resolve => {
    process.on('SIGTERM', resolve)
    process.on('SIGINT', resolve)
  })
  await running.stop()
  return ExitCode.ok
}

async function runCommand (args: readonly string[]): Promise<number> {
  const parsed = parseFlags(args, FLAGS)
  if (parsed.kind === 'refused') {
    process.stderr.write(`${parsed.message}\n`)
    return ExitCode.badInput
  }
  const { values, positionals } = parsed.flags
  if (values.help === true) {
    process.stdout.write(formatHelp())
    return ExitCode.ok
  }
  if (values.version === true) {
    process.stdout.write(`${VERSION}\n`)
    return ExitCode.ok
  }
  if (typeof values.settings !== 'string' || positionals.length > 0) {
    process.stderr.write('expected exactly: --settings FILE; see --help\n')
    return ExitCode.badInput
  }
  const settings = readSettings(values.settings)
  if (settings === undefined) return ExitCode.badInput
  if (values.check === true) return ExitCode.ok
  return run(settings)
}

try {
  process.exitCode = await runCommand(process.argv.slice(2))
} catch (error) {
  process.stderr.write(`dragonflyleverd: ${(error as Error).message}\n`)
  process.exitCode = ExitCode.failed
}
