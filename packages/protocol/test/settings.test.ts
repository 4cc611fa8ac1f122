/**
 * Checks that each fault in a settings file is reported with its position, its key, and the found and expected values.
 */
import test from 'ava'

import { formatFault, parseDocument, settingsSchema } from '../src/index.js'

const SETTINGS = {
  role: 'entry',
  id: 'entry-1',
  region: 'morava',
  failureDomain: 'jihlava',
  store: { urls: ['http://127.0.0.1:2379'] },
  clusterKey: 'a-cluster-key-of-24-char',
  listen: { callers: '127.0.0.1:0', control: '127.0.0.1:0', operators: '127.0.0.1:0' }
}

function formatSettings (change: object): string {
  return JSON.stringify({ ...SETTINGS, ...change })
}

const FAULTS: ReadonlyArray<readonly [title: string, text: string, lines: readonly RegExp[]]> = [
  ['an empty file', '', [/^FILE:1:1: \(/]],
  ['a duplicate key', '{ "id": "a", "id": "b" }', [/^FILE:1:14: id: found the key a second time, expected each key once$/]],
  ['a bad role', '{ "role": "boss" }', [/^FILE:1:3: role: found "boss", expected one of 'entry' \| 'agent'$/]],
  ['an unknown key', formatSettings({ colour: 1 }), [/: colour: found an unknown key, expected one of role, id, .*operatorsKey, organisationKeys$/]],
  ['a wrong type', formatSettings({ id: 7 }), [/: id: found 7, expected string$/]],
  ['an impossible octet', formatSettings({ store: { urls: ['http://10.0.0.300:2379'] } }), [/: store\.urls\.0: found "http:\/\/10\.0\.0\.300:2379", expected http:\/\/IP:PORT/]],
  ['an impossible port', formatSettings({ join: ['10.0.0.3:65536'] }), [/: join\.0: found "10\.0\.0\.3:65536", expected IP:PORT/]],
  ['an address used twice', formatSettings({ listen: { callers: '127.0.0.1:7000', control: '127.0.0.1:7000', operators: '127.0.0.1:0' } }), [/: listen\.control: found .*, expected an address of its own$/]],
  ['two faults', formatSettings({ region: '', failureDomain: 'a b' }), [/: region: found "", expected letters/, /: failureDomain: found "a b", expected letters/]],
  ['a key that is too short (and not quoted in the fault)', formatSettings({ clusterKey: 'hush' }), [/: clusterKey: found a value not shown, expected string to have >=16 characters$/]]
]

for (const [title, text, expected] of FAULTS) {
  test(`settings with ${title} are refused with one line per fault`, t => {
    const result = parseDocument(text, settingsSchema)
    const lines = result.kind === 'invalid' ? result.faults.map(fault => formatFault('FILE', fault)) : []
    t.is(lines.length, expected.length, lines.join('\n'))
    for (const [index, pattern] of expected.entries()) t.regex(lines[index] ?? '', pattern)
  })
}

test('sample settings are valid', t => {
  t.is(parseDocument(formatSettings({}), settingsSchema).kind, 'valid')
})
