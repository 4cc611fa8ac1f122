/**
 * Runs the test files with ava and judges the result against KNOWN-RED.txt:
 * a failure listed there is printed and passed over, any other fails the run.
 */
import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'

const AVA = new URL('../node_modules/ava/entrypoints/cli.mjs', import.meta.url).pathname

function readKnownRed () {
  const text = readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8')
  const lines = text.split('\n').filter(line => line.trim() !== '' && !line.startsWith('#'))
  return new Set(lines.map(line => line.split('|')[0].trim()))
}

function readResults (tap) {
  const lines = tap.split('\n')
  const passed = lines.filter(line => /^\s*ok \d+/.test(line))
  const failed = lines.filter(line => /^\s*not ok \d+/.test(line))
  return { passed: passed.length, failed: failed.map(line => line.replace(/^\s*not ok \d+ - /, '').trim()) }
}

/** Runs ava and returns its exit code and its output in TAP format, which is also printed. */
async function runAva (args) {
  const child = spawn(process.execPath, [AVA, '--tap', ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
  let tap = ''
  child.stdout.on('data', chunk => {
    tap += chunk
    process.stdout.write(chunk)
  })
  const code = await new Promise(resolve => child.on('close', resolve))
  return { code, ...readResults(tap) }
}

const args = process.argv.slice(2)
const runs = [await runAva(args)]
// Tests that measure whole processes run after the others, so that nothing runs beside them.
if (args.length === 0) runs.push(await runAva(['--config', 'avaAlone.config.js']))

const known = readKnownRed()
const passed = runs.reduce((sum, run) => sum + run.passed, 0)
const failed = runs.flatMap(run => run.failed)
const unexpected = failed.filter(title => !known.has(title))
for (const title of failed.filter(title => known.has(title))) console.log(`known red: ${title}`)
for (const title of unexpected) console.log(`failed: ${title}`)
console.log(`${passed} passed, ${failed.length} failed`)
const isCrash = runs.some(run => (run.code !== 0 && run.failed.length === 0) || run.passed === 0)
process.exitCode = unexpected.length > 0 || isCrash ? 1 : 0
