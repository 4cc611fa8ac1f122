/**
 * Checks that the samples in examples/ are valid, consistent with each other and feasible on the fleet that they describe.
 */
import { readFileSync, readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

import { findInfeasibleGuarantees } from '@dragonflylever/daemon'
import { acceptableDeclarationsSchema, formatFault, parseDocument, profileSchema, settingsSchema } from '@dragonflylever/protocol'
import type { AgentSettings, EntrySettings, Settings } from '@dragonflylever/protocol'
import test from 'ava'

const EXAMPLES = fileURLToPath(new URL('../../../../examples/', import.meta.url))

/** Reads a sample. Throws an error that lists its faults if it is invalid. */
function readSample<T> (file: string, schema: Parameters<typeof parseDocument<T>>[1]): T {
  const result = parseDocument(readFileSync(`${EXAMPLES}${file}`, 'utf8'), schema)
  if (result.kind === 'valid') return result.value
  throw new Error(result.faults.map(fault => formatFault(file, fault)).join('\n'))
}

function readProcesses (deployment: string): Settings[] {
  const files = readdirSync(`${EXAMPLES}${deployment}`).filter(file => /^(entry|agent)-.*\.jsonc$/.test(file))
  return files.map(file => {
    const settings = readSample(`${deployment}/${file}`, settingsSchema)
    if (file !== `${settings.id}.jsonc`) throw new Error(`${file} contains the settings of ${settings.id}`)
    return settings
  })
}

for (const deployment of ['crisp-works', 'guild']) {
  test(`the samples of ${deployment} describe a fleet of 3 entries and 10 agents that share no address`, t => {
    const processes = readProcesses(deployment)
    const entries = processes.filter((one): one is EntrySettings => one.role === 'entry')
    const agents = processes.filter((one): one is AgentSettings => one.role === 'agent')
    t.deepEqual([entries.length, agents.length], [3, 10])
    const addresses = [...processes.flatMap(one => Object.values(one.listen)), ...agents.map(agent => agent.endpoint.url.slice('http://'.length))]
    t.is(new Set(addresses).size, addresses.length)
    t.is(new Set(processes.map(one => one.failureDomain)).size, 3)
    t.is(new Set(processes.map(one => one.region)).size, 2)
    t.deepEqual(new Set(processes.map(one => one.clusterKey)).size, 1)
    for (const settings of processes) t.deepEqual(settings.join, entries.map(entry => entry.listen.control).sort())
  })

  test(`the declarations of ${deployment} are feasible on its fleet, and its profile has the operators' address and key of one of its entries`, t => {
    const processes = readProcesses(deployment)
    const declarations = readSample(`${deployment}/declarations.jsonc`, acceptableDeclarationsSchema)
    const workers = processes.flatMap(one => one.role === 'agent'
      ? [{ failureDomain: one.failureDomain, rack: one.rack, slots: one.endpoint.slots, accelerators: one.worker?.accelerators ?? 0 }]
      : [])
    t.deepEqual(findInfeasibleGuarantees(declarations, workers), [])
    t.is(Object.keys(declarations.organisations).length, 4)
    const profile = readSample(`${deployment}/profile.jsonc`, profileSchema)
    const key = readFileSync(`${EXAMPLES}${deployment}/${profile.keyFile}`, 'utf8').trim()
    t.true(processes.some(one => one.role === 'entry' && `http://${one.listen.operators}` === profile.entry && one.operatorsKey === key))
  })
}
