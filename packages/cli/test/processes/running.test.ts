/**
 * Runs the samples as separate processes, as docs/running.md describes. Ports are shifted so that concurrent test runs don't conflict.
 */
import { spawn, spawnSync } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

import test from 'ava'
import type { ExecutionContext } from 'ava'
import { request } from 'undici'

const CLI = fileURLToPath(new URL('../../src/main.js', import.meta.url))
const DAEMON = fileURLToPath(new URL('../../../../daemon/dist/src/main.js', import.meta.url))
const ROOT = fileURLToPath(new URL('../../../../../', import.meta.url))
const SAMPLES = fileURLToPath(new URL('../../../../../examples/crisp-works/', import.meta.url))
const SAMPLE_PORT = 7100
const FIRST_PORT = 10_000
const PORT_RANGES = 40
const PORTS_IN_USE = 400
const WAIT_MS = 30_000
const WORKER_PORT_OFFSET = 100

interface Output {
  readonly code: number | null
  readonly text: string
}

/** Starts the stand-ins in the first free port range, below the ephemeral ports of the system. */
async function startStandIns (t: ExecutionContext): Promise<{ port: number, standins: ChildProcess }> {
  const first = process.pid % PORT_RANGES
  for (let index = 0; index < PORT_RANGES; index++) {
    const port = FIRST_PORT + ((first + index) % PORT_RANGES) * PORTS_IN_USE
    try {
      return { port, standins: await startProcess(t, [CLI, 'standins', '--port', String(port)], /^ready$/m) }
    } catch {
      t.log(`the stand-ins could not start at the ports from ${port}`)
    }
  }
  throw new Error('the stand-ins could not start in any port range')
}

/** Copies the samples with shifted ports and returns the folder. */
function writeSamples (t: ExecutionContext, port: number): string {
  const folder = mkdtempSync(join(tmpdir(), 'dragonflylever-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  for (const file of readdirSync(SAMPLES)) {
    const text = readFileSync(`${SAMPLES}${file}`, 'utf8')
    writeFileSync(join(folder, file), text.replace(/127\.0\.0\.1:(\d+)/g, (_, old: string) => `127.0.0.1:${Number(old) - SAMPLE_PORT + port}`))
  }
  return folder
}

/** Starts a process and waits until its output matches `isReady`. */
async function startProcess (t: ExecutionContext, args: readonly string[], isReady: RegExp): Promise<ChildProcess> {
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] })
  t.teardown(async () => {
    if (child.exitCode !== null || child.signalCode !== null) return
    const ended = new Promise(resolve => child.once('close', resolve))
    child.kill('SIGKILL')
    await ended
  })
  await new Promise<void>((resolve, reject) => {
    let text = ''
    const read = (chunk: Buffer): void => {
      text += String(chunk)
      if (isReady.test(text)) resolve()
    }
    child.stdout.on('data', read)
    child.stderr.on('data', read)
    child.once('close', () => reject(new Error(`the process ended before it was ready: ${text}`)))
  })
  return child
}

async function runCli (...args: string[]): Promise<Output> {
  const child = spawn(process.execPath, [CLI, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  let text = ''
  child.stdout.on('data', chunk => { text += String(chunk) })
  child.stderr.on('data', chunk => { text += String(chunk) })
  return new Promise(resolve => child.once('close', code => resolve({ code, text })))
}

async function waitForMember (profile: string, id: string): Promise<void> {
  while (!(await runCli('status', '--json', '--profile', profile)).text.includes(`"${id}"`)) { /* poll again */ }
}

test('both binaries start by their documented names from the installed packages', t => {
  for (const name of ['dragonflylever', 'dragonflyleverd']) {
    const ran = spawnSync('npx', ['--no-install', name, '--version'], { cwd: ROOT, encoding: 'utf8' })
    t.is(ran.status, 0, ran.stderr)
    t.regex(ran.stdout, /^\d+\.\d+\.\d+/)
  }
})

test('stand-ins report a port that is not available and exit with code 1', async t => {
  const { port } = await startStandIns(t)
  for (const taken of [port, port - 1, port - WORKER_PORT_OFFSET]) {
    const second = await runCli('standins', '--port', String(taken), '--endpoints', '2')
    t.is(second.code, 1)
    t.regex(second.text, /^standins: .*EADDRINUSE.*choose another --port\n$/)
  }
})

test('the stand-in services, an entry and an agent run with the sample settings, accept the sample policy without its guarantees and answer a call', async t => {
  t.timeout(WAIT_MS * 3)
  const { port, standins } = await startStandIns(t)
  const folder = writeSamples(t, port)
  await startProcess(t, [DAEMON, '--settings', join(folder, 'entry-jihlava.jsonc')], /started/)
  await startProcess(t, [DAEMON, '--settings', join(folder, 'agent-jihlava-1.jsonc')], /started/)
  const profile = join(folder, 'profile.jsonc')
  await waitForMember(profile, 'agent-jihlava-1')
  const refused = await runCli('apply', join(folder, 'declarations.jsonc'), '--expect', '0', '--profile', profile)
  t.is(refused.code, 2)
  t.regex(refused.text, /guaranteedSlots that sum to 52, expected at most 8/)
  const small = join(folder, 'small.jsonc')
  writeFileSync(small, readFileSync(join(folder, 'declarations.jsonc'), 'utf8').replace(/"guaranteed(Slots|Shapes)": (\d+|\[[^\]]*\]),?/g, ''))
  const applied = await runCli('apply', small, '--expect', '0', '--profile', profile)
  t.deepEqual(applied, { code: 0, text: 'accepted as revision 1\n' })
  const headers = { 'dfl-class': 'allergen-check', 'dfl-organisation': 'care-homes' }
  const answer = await request(`http://127.0.0.1:${port + 201}/v1/call/check`, { method: 'POST', headers, body: '{"blend":"sesame"}' })
  t.is(answer.statusCode, 200)
  await answer.body.dump()
  const status = await runCli('status', '--profile', profile)
  t.regex(status.text, /^as entry-jihlava sees it: revision 1/)
  t.regex(status.text, /agent-jihlava-1 +agent +alive +morava +jihlava/)
  const ended = new Promise(resolve => standins.once('close', (code, signal) => resolve({ code, signal })))
  standins.kill('SIGTERM')
  t.deepEqual(await ended, { code: 0, signal: null })
})
