/**
 * Checks the commands for operators against an entry that runs within the test process.
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

interface CommandResult {
  readonly code: number
  readonly out: string[]
  readonly err: string[]
}

interface Fixture {
  readonly store: StoreStandIn
  readonly folder: string
  readonly entry: EntryProcess
  /** Runs a command with the flags that select the entry. */
  readonly run: (...args: string[]) => Promise<CommandResult>
  readonly write: (name: string, value: object | string) => string
}

const POLL_MS = 10
const WORKER = { url: 'http://127.0.0.1:9', cores: 8, memoryGb: 32, accelerators: 8 }

async function runCommand (name: string, args: readonly string[]): Promise<CommandResult> {
  const answer: CommandResult = { code: 0, out: [], err: [] }
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

/** Starts a store, an entry and the given number of agents, by default one. */
async function openFixture (t: ExecutionContext, agents = 1): Promise<Fixture> {
  const folder = createFolder(t)
  const logger = createLogger({ level: 'silent', processId: 'test' })
  const store = await StoreStandIn.open()
  const entry = await EntryProcess.start(createEntrySettings({ id: 'entry-1', storeUrl: store.url }), { logger })
  t.teardown(async () => { await entry.stop(); await store.close() })
  const connection = { storeUrl: store.url, join: [entry.controlAddress] }
  for (let index = 1; index <= agents; index++) {
    const endpoint = await EndpointStandIn.open()
    const settings = { ...createAgentSettings({ id: `agent-${index}`, endpointUrl: endpoint.url, ...connection }), worker: WORKER }
    const agent = await AgentProcess.start(settings, { logger })
    t.teardown(async () => { await agent.stop(); await endpoint.close() })
  }
  await waitUntil(() => entry.board.get('members').size === agents + 1)
  const key = writeDocument(folder, 'operators.key', `${OPERATORS_KEY}\n`)
  const flags = ['--entry', `http://${entry.operatorAddress}`, '--key-file', key]
  const run = (name = '', ...args: string[]): Promise<CommandResult> => runCommand(name, [...args, ...flags])
  return { store, folder, entry, run, write: (name, value) => writeDocument(folder, name, value) }
}

function createDeclarations (change: object = {}): object {
  const { classes } = createSampleDeclarations()
  return { classes, organisations: { guild: { guaranteedSlots: 4 }, canteens: {} }, ...change }
}

test('a document takes effect immediately, and an operator who expects an outdated revision is refused and shown the changes since that revision', async t => {
  const fixture = await openFixture(t)
  const first = fixture.write('first.jsonc', createDeclarations())
  const second = fixture.write('second.jsonc', createDeclarations({ organisations: { guild: { guaranteedSlots: 6 }, canteens: {} } }))
  t.deepEqual((await fixture.run('apply', first, '--expect', '0', '--by', 'ana')).out, ['accepted as revision 1'])
  t.is(fixture.entry.board.get('configuration')?.revision, 1)
  t.is((await fixture.run('apply', second, '--expect', '1', '--by', 'ben')).code, 0)
  const late = await fixture.run('apply', first, '--expect', '1', '--by', 'cyr')
  t.is(late.code, 1)
  t.regex(late.err.join('\n'), /revision 2 is in force.*--expect 2\nrevision 2 by ben at .*\n~ organisations\.guild\.guaranteedSlots: 4 -> 6$/)
})

test('when five operators apply a document at two entries concurrently, one is accepted and the other four operators are told who applied it', async t => {
  const fixture = await openFixture(t)
  const settings = createEntrySettings({ id: 'entry-2', storeUrl: fixture.store.url })
  const other = await EntryProcess.start(settings, { logger: createLogger({ level: 'silent', processId: 'test' }) })
  t.teardown(() => other.stop())
  const key = fixture.write('other.key', OPERATORS_KEY)
  const file = fixture.write('first.jsonc', createDeclarations())
  const answers = await Promise.all(['ana', 'ben', 'cyr', 'dan', 'eva'].map((by, index) => {
    const args = [file, '--expect', '0', '--by', by, '--allow-unknown-fleet']
    return index % 2 === 0 ? fixture.run('apply', ...args) : runCommand('apply', [...args, '--entry', `http://${other.operatorAddress}`, '--key-file', key])
  }))
  t.is(answers.filter(answer => answer.code === 0).length, 1)
  const winner = ['ana', 'ben', 'cyr', 'dan', 'eva'][answers.findIndex(answer => answer.code === 0)]
  for (const answer of answers.filter(answer => answer.code !== 0)) t.regex(answer.err.join('\n'), new RegExp(`revision 1 is in force.*\nrevision 1 by ${winner} `))
})

test('history lists who applied each revision and prints an earlier revision', async t => {
  const fixture = await openFixture(t)
  const file = fixture.write('first.jsonc', createDeclarations())
  for (const [revision, by] of ['ana', 'ben', 'cyr'].entries()) await fixture.run('apply', file, '--expect', String(revision), '--by', by)
  const list = await fixture.run('history')
  t.deepEqual(list.out.map(line => line.split(/\s+/).filter((_, index) => index !== 1)), [['3', 'cyr'], ['2', 'ben'], ['1', 'ana']])
  const firstRevision = await fixture.run('history', '--revision', '1')
  t.is(JSON.parse(firstRevision.out.join('\n')).organisations.guild.guaranteedSlots, 4)
  t.is((await fixture.run('history', '--revision', '9')).code, 1)
})

test('guarantees that exceed the announced fleet are refused with file, line and limits', async t => {
  const fixture = await openFixture(t, 2)
  const shapes = [{ accelerators: 12, adjacency: 'worker' }]
  const large = await fixture.run('apply', fixture.write('large.jsonc', createDeclarations({ organisations: { guild: { guaranteedShapes: shapes } } })), '--expect', '0')
  t.is(large.code, 2)
  t.regex(large.err.join('\n'), /large\.jsonc:\d+:\d+: organisations\.guild\.guaranteedShapes\.0\.accelerators: found 12, expected at most 8, the accelerators of the largest worker announced/)
  const slots = await fixture.run('apply', fixture.write('slots.jsonc', createDeclarations({ organisations: { guild: { guaranteedSlots: 17 } } })), '--expect', '0')
  t.regex(slots.err.join('\n'), /guaranteedSlots that sum to 17, expected at most 16, the slots of the 2 workers announced/)
  t.is((await fixture.run('diff', fixture.write('ok.jsonc', createDeclarations()))).out.at(-1), '2 changes against revision 0')
})

test('while no worker is announced, a document is accepted only with --allow-unknown-fleet', async t => {
  const fixture = await openFixture(t, 0)
  const file = fixture.write('first.jsonc', createDeclarations())
  const refused = await fixture.run('apply', file, '--expect', '0')
  t.is(refused.code, 2)
  t.regex(refused.err.join('\n'), /no worker announced.*--allow-unknown-fleet/)
  const allowed = await fixture.run('apply', file, '--expect', '0', '--allow-unknown-fleet')
  t.regex(allowed.out.join('\n'), /accepted as revision 1; no worker was announced, so the guarantees were not checked/)
})

test('while the store is down, status works and apply reports that the document was not accepted', async t => {
  const fixture = await openFixture(t)
  const file = fixture.write('first.jsonc', createDeclarations())
  await fixture.run('apply', file, '--expect', '0')
  fixture.store.setDown(true)
  const down = await fixture.run('apply', file, '--expect', '1')
  t.is(down.code, 1)
  t.regex(down.err.join('\n'), /^not accepted: the store is unavailable/)
  const status = JSON.parse((await fixture.run('status', '--json')).out.join('\n'))
  t.is(status.revision, 1)
  t.deepEqual(status.processes.map((one: { id: string }) => one.id), ['agent-1', 'entry-1'])
  t.regex((await fixture.run('status')).out[0] ?? '', /^as entry-1 sees it: revision 1, 2 processes, store \w+/)
})

test('a write that takes effect but whose answer is lost is reported as accepted', async t => {
  const fixture = await openFixture(t)
  fixture.store.faults.loseAnswers = 1
  const answer = await fixture.run('apply', fixture.write('first.jsonc', createDeclarations()), '--expect', '0')
  t.deepEqual(answer.out, ['accepted as revision 1'])
})

test('a wrong operators\' key is refused, and the error contains neither the given nor the expected key', async t => {
  const fixture = await openFixture(t, 0)
  const wrong = fixture.write('wrong.key', 'a-wrong-operators-key')
  const answer = await runCommand('status', ['--entry', `http://${fixture.entry.operatorAddress}`, '--key-file', wrong])
  t.is(answer.code, 1)
  t.regex(answer.err.join('\n'), /401/)
  t.notRegex(answer.err.join('\n'), /a-wrong-operators-key|loopback-operators-key/)
})

test('diff between two files needs no store, and validate prints file, line, column, key and the expected value', async t => {
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

test('a missing file, a missing flag and an unknown flag are invalid input', async t => {
  const missing = await runCommand('validate', ['/nonexistent/x.jsonc'])
  t.is(missing.code, 2)
  t.regex(missing.err.join('\n'), /^\/nonexistent\/x\.jsonc: can't be read \(ENOENT\)/)
  t.is((await runCommand('status', [])).code, 2)
  t.regex((await runCommand('status', ['--jsno'])).err.join('\n'), /did you mean --json\?/)
  t.is((await runCommand('apply', ['x.jsonc'])).code, 2)
})
