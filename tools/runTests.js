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

const child = spawn(process.execPath, [AVA, '--tap', ...process.argv.slice(2)], { stdio: ['ignore', 'pipe', 'inherit'] })
let tap = ''
child.stdout.on('data', chunk => {
  tap += chunk
  process.stdout.write(chunk)
})
child.on('close', code => {
  const known = readKnownRed()
  const { passed, failed } = readResults(tap)
  const unexpected = failed.filter(title => !known.has(title))
  for (const title of failed.filter(title => known.has(title))) console.log(`known red: ${title}`)
  for (const title of unexpected) console.log(`failed: ${title}`)
  console.log(`${passed} passed, ${failed.length} failed`)
  const isCrash = code !== 0 && failed.length === 0
  process.exitCode = unexpected.length > 0 || isCrash || passed === 0 ? 1 : 0
})
