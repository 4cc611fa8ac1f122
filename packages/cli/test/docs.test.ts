/**
 * Checks that the pages for operators agree with the schemas and the commands.
 */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

import { acceptableDeclarationsSchema, formatFault, listSchemaPaths, parseDocument, profileSchema, settingsSchema } from '@dragonflylever/protocol'
import test from 'ava'

import { COMMANDS } from '../src/index.js'

type Schema = Parameters<typeof listSchemaPaths>[0]

const DOCS = fileURLToPath(new URL('../../../../docs/', import.meta.url))
const PAGES = ['operators.md', 'running.md', 'declarations.md', 'settings.md']

function readPage (page: string): string {
  return readFileSync(`${DOCS}${page}`, 'utf8')
}

/** Lists the keys in the first column of a page's tables. */
function listDocumentedKeys (page: string): string[] {
  const rows = readPage(page).matchAll(/^\| `([A-Za-z.*]+)` \|/gm)
  return [...rows].map(row => row[1] ?? '').sort()
}

function listKeys (schema: Schema): string[] {
  return [...new Set(listSchemaPaths(schema).map(path => path.join('.')))].sort()
}

/** Lists the code blocks of a page that are marked with the given language. */
function listBlocks (page: string, language: string): string[] {
  return [...readPage(page).matchAll(new RegExp(`^\`\`\`${language}\\n([\\s\\S]*?)^\`\`\``, 'gm'))].map(match => match[1] ?? '')
}

const REFERENCES: ReadonlyArray<readonly [page: string, schema: Schema]> = [
  ['settings.md', settingsSchema],
  ['declarations.md', acceptableDeclarationsSchema],
  ['operators.md', profileSchema]
]

for (const [page, schema] of REFERENCES) {
  test(`${page} lists every key of its schema and no other`, t => {
    t.deepEqual(listDocumentedKeys(page), listKeys(schema))
  })
}

for (const [page, schema] of REFERENCES.slice(0, 2)) {
  test(`the samples of ${page} are valid`, t => {
    const blocks = listBlocks(page, 'jsonc')
    t.true(blocks.length > 0)
    for (const block of blocks) {
      const result = parseDocument(block, schema as Parameters<typeof parseDocument>[1])
      t.is(result.kind, 'valid', result.kind === 'invalid' ? result.faults.map(fault => formatFault(page, fault)).join('\n') : '')
    }
  })
}

test('every command line of the operators\' pages names a command and flags that exist', async t => {
  const lines = PAGES.flatMap(page => listBlocks(page, 'sh').flatMap(block => block.split('\n'))).filter(line => line.startsWith('dragonflylever '))
  t.true(lines.length > 10)
  for (const line of lines) {
    const [, name, ...args] = line.split(' ')
    const command = COMMANDS.find(one => one.name === name)
    const faults: string[] = []
    const code = await command?.run([...args, '--help'], { out: () => {}, err: fault => faults.push(fault) })
    t.is(code, 0, `${line}: ${faults.join()}`)
  }
})
