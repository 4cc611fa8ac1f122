/**
 * Tests the daemon's binary with invalid settings and flags: it prints one line for each fault and no stack trace, and exits with code 2.
 */
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

import { createEntrySettings } from '@dragonflylever/standins'
import test from 'ava'
import type { ExecutionContext } from 'ava'

const BINARY = fileURLToPath(new URL('../../src/main.js', import.meta.url))
const SETTINGS = createEntrySettings({ id: 'entry-1', storeUrl: 'http://127.0.0.1:2379' })

function runDaemon (args: readonly string[]): { code: number | null, lines: string[], out: string } {
  const result = spawnSync(process.execPath, [BINARY, ...args], { encoding: 'utf8' })
  return { code: result.status, lines: result.stderr.split('\n').filter(line => line !== ''), out: result.stdout }
}

function checkSettings (t: ExecutionContext, text: string): { code: number | null, lines: string[] } {
  const folder = mkdtempSync(join(tmpdir(), 'dragonflylever-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const file = join(folder, 'settings.jsonc')
  writeFileSync(file, text)
  const { code, lines } = runDaemon(['--settings', file, '--check'])
  return { code, lines: lines.map(line => line.replace(file, 'FILE')) }
}

test('invalid settings are refused with one line for each fault and without a stack trace', t => {
  const { code, lines } = checkSettings(t, JSON.stringify({ ...SETTINGS, id: 7, clusterKey: 'hush' }))
  t.is(code, 2)
  t.is(lines.length, 2)
  t.regex(lines[0] ?? '', /^FILE:1:\d+: id: found 7, expected string$/)
  t.regex(lines[1] ?? '', /^FILE:1:\d+: clusterKey: found a value not shown, expected string to have >=16 characters$/)
})

test('settings that are not valid JSON are refused with a one-line message', t => {
  const { code, lines } = checkSettings(t, '{\n  "role": "entry",\n  "id" "x"\n}')
  t.is(code, 2)
  t.is(lines.length, 1)
  t.regex(lines[0] ?? '', /^FILE:3:8: \(syntax\): found "x", expected valid JSON/)
})

test('valid settings pass the check', t => {
  t.deepEqual(checkSettings(t, JSON.stringify(SETTINGS)), { code: 0, lines: [] })
})

test('a missing settings file is reported with a one-line message', t => {
  const { code, lines } = runDaemon(['--settings', '/nonexistent/settings.jsonc'])
  t.is(code, 2)
  t.is(lines.length, 1)
  t.regex(lines[0] ?? '', /^\/nonexistent\/settings\.jsonc: can't be read/)
})

test('an unknown flag is refused, and the most similar flag is suggested', t => {
  const { code, lines } = runDaemon(['--setings', 'x'])
  t.is(code, 2)
  t.deepEqual(lines, ['unknown flag --setings; did you mean --settings?'])
})

test('--help and --version print their text and exit with code 0', t => {
  const [help, version] = [runDaemon(['--help']), runDaemon(['--version'])]
  t.is(help.code, 0)
  t.regex(help.out, /--settings VALUE/)
  t.is(version.code, 0)
  t.regex(version.out, /^\d+\.\d+\.\d+\n$/)
})
