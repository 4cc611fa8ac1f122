/**
 * Exits with 0 if the installed packages are those of the lock file, and with 1, naming what differs, if they have to be installed again: an installation that was interrupted, that ran beside
 * another one, or that was made on another kind of machine leaves a folder that is newer than the lock file and not whole. Takes the project's folder, by default the current one.
 */
import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

const root = process.argv[2] ?? '.'

function readPackages (file) {
  try {
    return JSON.parse(readFileSync(join(root, file), 'utf8')).packages
  } catch (error) {
    console.error(`${file} can't be read: ${error.message}`)
    return undefined
  }
}

/** True if the lock file asks for a package on this kind of machine; optional packages name the kinds that they are for. */
function isFor (values, value) {
  return values === undefined || values.includes(value)
}

function findFault (wanted, installed) {
  for (const [path, { version, link, os, cpu, libc, optional }] of Object.entries(wanted)) {
    if (!path.startsWith('node_modules/') || !isFor(os, process.platform) || !isFor(cpu, process.arch)) continue
    // Optional packages for one of several C libraries are installed only for the one that is there.
    if (optional && libc !== undefined) continue
    if (!existsSync(join(root, path, 'package.json'))) return `${path} is missing`
    if (!link && installed[path]?.version !== version) return `${path} has version ${installed[path]?.version}; the lock file has ${version}`
  }
  return undefined
}

const wanted = readPackages('package-lock.json')
// npm writes this file at the end of an installation.
const installed = wanted === undefined ? undefined : readPackages('node_modules/.package-lock.json')
const fault = installed === undefined ? undefined : findFault(wanted, installed)
if (fault !== undefined) console.error(`the installed packages are not those of the lock file: ${fault}`)
process.exitCode = installed === undefined || fault !== undefined ? 1 : 0
