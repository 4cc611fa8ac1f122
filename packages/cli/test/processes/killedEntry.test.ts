/**
 * Guards against a document being lost or applied twice when its entry is killed between the write to the store and the answer.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

import { OPERATORS_KEY, ProcessFleet, createSampleDeclarations } from '@dragonflylever/standins'
import test from 'ava'

import { COMMANDS } from '../../src/index.js'

const DAEMON = fileURLToPath(new URL('../../../../daemon/dist/src/main.js', import.meta.url))
const CURRENT_KEY = 'dragonflylever/config/current'

async function runApply (args: readonly string[]): Promise<{ code: number | undefined, text: string }> {
  const lines: string[] = []
  const addLine = (line: string): void => { lines.push(line) }
  const code = await COMMANDS.find(command => command.name === 'apply')?.run(args, { out: addLine, err: addLine })
  return { code, text: lines.join('\n') }
}

test('an operator whose entry is killed after the write gets the outcome from another entry, and the document is accepted once', async t => {
  const fleet = await ProcessFleet.start({ binary: DAEMON, entries: 2, agents: 0 })
  const folder = mkdtempSync(join(tmpdir(), 'dragonflylever-'))
  t.teardown(async () => {
    await fleet.close()
    rmSync(folder, { recursive: true })
  })
  const [first, second] = fleet.entries
  if (first === undefined || second === undefined) return t.fail('the fleet has fewer than two entries')
  const [document, key] = [join(folder, 'declarations.jsonc'), join(folder, 'operators.key')]
  writeFileSync(document, JSON.stringify(createSampleDeclarations()))
  writeFileSync(key, OPERATORS_KEY)
  const args = [document, '--expect', '1', '--by', 'ana', '--allow-unknown-fleet', '--key-file', key]
  let writes = 0
  fleet.store.engine.subscribe(event => {
    if (event.kind !== 'put' || event.value.key !== CURRENT_KEY || ++writes > 1) return
    fleet.store.faults.loseAnswers = 1
    first.signal('SIGKILL')
  })
  const interrupted = await runApply([...args, '--entry', `http://${first.addresses.operators}`])
  t.is(interrupted.code, 1)
  const nonce = /run the same command with --nonce (\S+)/.exec(interrupted.text)?.[1] ?? ''
  t.not(nonce, '', interrupted.text)
  const settled = await runApply([...args, '--nonce', nonce, '--entry', `http://${second.addresses.operators}`])
  t.is(settled.code, 0, settled.text)
  t.regex(settled.text, /^accepted as revision 2/)
  t.is(writes, 1)
})
