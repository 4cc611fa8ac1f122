/**
 * The operators' commands against an entry process within this one.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

import { AgentProcess, EntryProcess } from '@dragonflylever/daemon'
import { createLogger } from '@dragonflylever/runtime'
import { EndpointStandIn, OPERATORS_KEY, StoreStandIn, createAgentSettings, createEntrySettings, createSampleDeclarations } from '@dragonflylever/standins'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { COMMANDS } from '../src/index.js'

interface Answer {
  readonly code: number
  readonly out: string[]
  readonly err: string[]
}

interface Bench {
  readonly store: StoreStandIn
  readonly folder: string
  readonly entry: EntryProcess
  /** Runs a command with the flags that lead to the entry. */
  readonly run: (...args: string[]) => Promise<Answer>
  readonly write: (name: string, value: object | string) => string
}

const POLL_MS = 10
const WORKER = { url: 'http://127.0.0.1:9', cores: 8, memoryGb: 32, accelerators: 8 }

async function runCommand (name: string, args: readonly string[]): Promise<Answer> {
  const answer: Answer = { code: 0, out: [], err: [] }
  const command = COMMANDS.find(one => one.name === name)
  const code = await command?.run(args, { out: line => answer.out.push(line), err: line => answer.err.push(line) })
  return { ...answer, code: code ?? -1 }
}

function createFolder (t: ExecutionContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'dragonflylever-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  return folder
}

function writeDocument (folder: string, name: string, value: object | string): string {
  const file = join(folder, name)
  writeFileSync(file, typeof value === 'string' ? value : JSON.stringify(value, null, 2))
  return file
}

async function waitUntil (isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise(resolve => setTimeout(resolve, POLL_MS))
}

/** Opens a store, an entry and, unless told otherwise, an agent. */
async function openBench (t: ExecutionContext, agents = 1): Promise<Bench> {
  const folder = createFolder(t)
  const logger = createLogger({ level: 'silent', processId: 'test' })
  const store = await StoreStandIn.open()
  const entry = await EntryProcess.start(createEntrySettings({ id: 'entry-1', storeUrl: store.url }), { logger })
  t.teardown(async () => { await entry.stop(); await store.close() })
  const joins = { storeUrl: store.url, join: [entry.controlAddress] }
  for (let index = 1; index <= agents; index++) {
    const endpoint = await EndpointStandIn.open()
    const settings = { ...createAgentSettings({ id: `agent-${index}`, endpointUrl: endpoint.url, ...joins }), worker: WORKER }
    const agent = await AgentProcess.start(settings, { logger })
    t.teardown(async () => { await agent.stop(); await endpoint.close() })
  }
  await waitUntil(() => entry.board.get('members').size === agents + 1)
  const key = writeDocument(folder, 'operators.key', `${OPERATORS_KEY}\n`)
  const flags = ['--entry', `http://${entry.operatorAddress}`, '--key-file', key]
  const run = (name = '', ...args: string[]): Promise<Answer> => runCommand(name, [...args, ...flags])
  return { store, folder, entry, run, write: (name, value) => writeDocument(folder, name, value) }
}

function createDeclarations (change: object = {}): object {
  const { classes } = createSampleDeclarations()
  return { classes, organisations: { guild: { guaranteedSlots: 4 }, canteens: {} }, ...change }
}

test('a document is accepted once, is in force at once, and the second operator is told what changed', async t => {
  const bench = await openBench(t)
  const first = bench.write('first.jsonc', createDeclarations())
  const second = bench.write('second.jsonc', createDeclarations({ organisations: { guild: { guaranteedSlots: 6 }, canteens: {} } }))
  t.deepEqual((await bench.run('apply', first, '--expect', '0', '--by', 'ana')).out, ['accepted as revision 1'])
  t.is(bench.entry.board.get('configuration')?.revision, 1)
  t.is((await bench.run('apply', second, '--expect', '1', '--by', 'ben')).code, 0)
  const late = await bench.run('apply', first, '--expect', '1', '--by', 'cyr')
  t.is(late.code, 1)
  t.regex(late.err.join('\n'), /revision 2 is in force.*--expect 2\nrevision 2 by ben at .*\n~ organisations\.guild\.guaranteedSlots: 4 -> 6$/)
})

test('of five operators at two entries at the same moment one is accepted and four are told by whom', async t => {
  const bench = await openBench(t)
  const settings = createEntrySettings({ id: 'entry-2', storeUrl: bench.store.url })
  const other = await EntryProcess.start(settings, { logger: createLogger({ level: 'silent', processId: 'test' }) })
  t.teardown(() => other.stop())
  const key = bench.write('other.key', OPERATORS_KEY)
  const file = bench.write('first.jsonc', createDeclarations())
  const answers = await Promise.all(['ana', 'ben', 'cyr', 'dan', 'eva'].map((by, index) => {
    const args = [file, '--expect', '0', '--by', by, '--allow-unknown-fleet']
    return index % 2 === 0 ? bench.run('apply', ...args) : runCommand('apply', [...args, '--entry', `http://${other.operatorAddress}`, '--key-file', key])
  }))
  t.is(answers.filter(answer => answer.code === 0).length, 1)
  const winner = ['ana', 'ben', 'cyr', 'dan', 'eva'][answers.findIndex(answer => answer.code === 0)]
  for (const answer of answers.filter(answer => answer.code !== 0)) t.regex(answer.err.join('\n'), new RegExp(`revision 1 is in force.*\nrevision 1 by ${winner} `))
})

test('history lists who applied what and gives an earlier revision back', async t => {
  const bench = await openBench(t)
  const file = bench.write('first.jsonc', createDeclarations())
  for (const [revision, by] of ['ana', 'ben', 'cyr'].entries()) await bench.run('apply', file, '--expect', String(revision), '--by', by)
  const list = await bench.run('history')
  t.deepEqual(list.out.map(line => line.split(/\s+/).filter((_, index) => index !== 1)), [['3', 'cyr'], ['2', 'ben'], ['1', 'ana']])
  const one = await bench.run('history', '--revision', '1')
  t.is(JSON.parse(one.out.join('\n')).organisations.guild.guaranteedSlots, 4)
  t.is((await bench.run('history', '--revision', '9')).code, 1)
})

test('guarantees that the announced fleet cannot hold are refused with file, line and figures', async t => {
  const bench = await openBench(t, 2)
  const shapes = [{ accelerators: 12, adjacency: 'worker' }]
  const large = await bench.run('apply', bench.write('large.jsonc', createDeclarations({ organisations: { guild: { guaranteedShapes: shapes } } })), '--expect', '0')
  t.is(large.code, 2)
  t.regex(large.err.join('\n'), /large\.jsonc:\d+:\d+: organisations\.guild\.guaranteedShapes\.0\.accelerators: found 12, expected at most 8, the accelerators of the largest worker announced/)
  const slots = await bench.run('apply', bench.write('slots.jsonc', createDeclarations({ organisations: { guild: { guaranteedSlots: 17 } } })), '--expect', '0')
  t.regex(slots.err.join('\n'), /guaranteedSlots that sum to 17, expected at most 16, the slots of the 2 workers announced/)
  t.is((await bench.run('diff', bench.write('ok.jsonc', createDeclarations()))).out.at(-1), '2 changes against revision 0')
})

test('without an announced worker a document needs the explicit allowance', async t => {
  const bench = await openBench(t, 0)
  const file = bench.write('first.jsonc', createDeclarations())
  const refused = await bench.run('apply', file, '--expect', '0')
  t.is(refused.code, 2)
  t.regex(refused.err.join('\n'), /no worker announced.*--allow-unknown-fleet/)
  const allowed = await bench.run('apply', file, '--expect', '0', '--allow-unknown-fleet')
  t.regex(allowed.out.join('\n'), /accepted as revision 1; no worker was announced, so the guarantees were not checked/)
})

test('status answers while the store is down and apply says that nothing was accepted', async t => {
  const bench = await openBench(t)
  const file = bench.write('first.jsonc', createDeclarations())
  await bench.run('apply', file, '--expect', '0')
  bench.store.setDown(true)
  const down = await bench.run('apply', file, '--expect', '1')
  t.is(down.code, 1)
  t.regex(down.err.join('\n'), /^not accepted: the store is unavailable/)
  const status = JSON.parse((await bench.run('status', '--json')).out.join('\n'))
  t.is(status.revision, 1)
  t.deepEqual(status.processes.map((one: { id: string }) => one.id), ['agent-1', 'entry-1'])
  t.regex((await bench.run('status')).out[0] ?? '', /^as entry-1 sees it: revision 1, 2 processes, store \w+/)
})

test('an accepting write whose answer is lost is settled as accepted', async t => {
  const bench = await openBench(t)
  bench.store.faults.loseAnswers = 1
  const answer = await bench.run('apply', bench.write('first.jsonc', createDeclarations()), '--expect', '0')
  t.deepEqual(answer.out, ['accepted as revision 1'])
})

test('a wrong key is refused, and neither key shows in the error', async t => {
  const bench = await openBench(t, 0)
  const wrong = bench.write('wrong.key', 'a-wrong-operators-key')
  const answer = await runCommand('status', ['--entry', `http://${bench.entry.operatorAddress}`, '--key-file', wrong])
  t.is(answer.code, 1)
  t.regex(answer.err.join('\n'), /401/)
  t.notRegex(answer.err.join('\n'), /a-wrong-operators-key|loopback-operators-key/)
})

test('diff between two files needs no store, and validate names file, line, column, key and what is right', async t => {
  const folder = createFolder(t)
  const old = writeDocument(folder, 'old.jsonc', createDeclarations())
  const next = writeDocument(folder, 'next.jsonc', createDeclarations({ organisations: { guild: { guaranteedSlots: 5 } } }))
  const diff = await runCommand('diff', [old, next])
  t.deepEqual(diff.out.slice(0, 2), ['- organisations.canteens: {"guaranteedSlots":0,"guaranteedShapes":[]}', '~ organisations.guild.guaranteedSlots: 4 -> 5'])
  const bad = writeDocument(folder, 'bad.jsonc', '{\n  "classes": {\n    "check": { "kind": "request", "startWithin": "9s", "finishWithin": "5s", "color": 1 }\n  },\n  "organisations": {}\n}')
  const answer = await runCommand('validate', [bad])
  t.is(answer.code, 2)
  t.is(answer.err.length, 3)
  t.regex(answer.err[0] ?? '', /bad\.jsonc:3:78: classes\.check\.color: found an unknown key, expected one of kind, startWithin, finishWithin, idempotent$/)
  t.regex(answer.err[1] ?? '', /bad\.jsonc:3:35: classes\.check\.startWithin: found "9s", expected at most finishWithin, 5s$/)
  t.regex(answer.err[2] ?? '', /bad\.jsonc:5:3: organisations: found \{\}, expected at least one organisation$/)
})

test('a missing file, a missing flag and an unknown flag are bad input', async t => {
  const missing = await runCommand('validate', ['/nonexistent/x.jsonc'])
  t.is(missing.code, 2)
  t.regex(missing.err.join('\n'), /^\/nonexistent\/x\.jsonc: can't be read \(ENOENT\)/)
  t.is((await runCommand('status', [])).code, 2)
  t.regex((await runCommand('status', ['--jsno'])).err.join('\n'), /did you mean --json\?/)
  t.is((await runCommand('apply', ['x.jsonc'])).code, 2)
})
