/**
 * The build of the platform's program takes installed packages for whole only if they are: after an interrupted installation it never repaired itself, and compiled with another package
 * of the compiler's name.
 */
import { spawnSync } from 'node:child_process'
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

import test from 'ava'
import type { ExecutionContext } from 'ava'

const PROGRAM = fileURLToPath(new URL('../../../../tools/checkModules.js', import.meta.url))
const OTHER_CPU = process.arch === 'x64' ? 'arm64' : 'x64'
const PACKAGES = {
  'node_modules/plain': { version: '1.0.0' },
  'node_modules/binary-here': { version: '2.0.0', optional: true, os: [process.platform], cpu: [process.arch] },
  'node_modules/binary-elsewhere': { version: '2.0.0', optional: true, os: [process.platform], cpu: [OTHER_CPU] }
}

/** Creates a project in which the packages with the given names, and their versions, are installed. */
function createProject (t: ExecutionContext, installed: Readonly<Record<string, string>>, isFinished = true): string {
  const folder = mkdtempSync(join(tmpdir(), 'dragonflylever-modules-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  writeFileSync(join(folder, 'package-lock.json'), JSON.stringify({ packages: { '': {}, ...PACKAGES } }))
  const packages = Object.fromEntries(Object.entries(installed).map(([name, version]) => [`node_modules/${name}`, { version }]))
  for (const path of Object.keys(packages)) {
    mkdirSync(join(folder, path), { recursive: true })
    writeFileSync(join(folder, path, 'package.json'), '{}')
  }
  if (isFinished) writeFileSync(join(folder, 'node_modules/.package-lock.json'), JSON.stringify({ packages }))
  return folder
}

function checkModules (folder: string): { readonly status: number | null, readonly stderr: string } {
  return spawnSync(process.execPath, [PROGRAM, folder], { encoding: 'utf8' })
}

test('a whole installation is accepted, without the packages for other kinds of machines', t => {
  t.is(checkModules(createProject(t, { plain: '1.0.0', 'binary-here': '2.0.0' })).status, 0)
})

test('an installation that was interrupted, lacks a package, has another version, or is of another kind of machine has to be made again', t => {
  const whole = { plain: '1.0.0', 'binary-here': '2.0.0' }
  const folder = createProject(t, whole)
  rmSync(join(folder, 'node_modules/plain'), { recursive: true })
  t.regex(checkModules(folder).stderr, /node_modules\/plain is missing/)
  t.regex(checkModules(createProject(t, whole, false)).stderr, /\.package-lock\.json can't be read/)
  t.regex(checkModules(createProject(t, { ...whole, plain: '0.9.0' })).stderr, /version 0\.9\.0/)
  t.regex(checkModules(createProject(t, { plain: '1.0.0', 'binary-elsewhere': '2.0.0' })).stderr, /binary-here is missing/)
  t.is(checkModules(createProject(t, { plain: '1.0.0' })).status, 1)
})
