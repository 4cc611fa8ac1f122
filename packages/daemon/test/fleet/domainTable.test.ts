/**
 * Tests that member lists are replaced only by newer ones, whichever registrar sends them and in whatever order they arrive.
 */
import { DomainTable, isHigherVersion } from '@dragonflylever/daemon'
import type { DomainChange, ListVersion } from '@dragonflylever/protocol'
import test from 'ava'
import fc from 'fast-check'

const changeArbitrary = fc.record({ epoch: fc.integer({ min: 1, max: 4 }), version: fc.integer({ min: 1, max: 8 }), since: fc.option(fc.integer({ min: 0, max: 8 }), { nil: undefined }) })

function createChange ({ epoch, version, since }: { epoch: number, version: number, since: number | undefined }): DomainChange {
  const base = { domain: 'a', region: 'r', epoch, version, registrar: { id: `p${epoch}`, address: 'x' }, fleetSlots: 0, members: [], removed: [] }
  return since === undefined || since >= version ? base : { ...base, since }
}

test('a member list from a former registrar or of an older version never replaces a newer list', t => {
  fc.assert(fc.property(fc.array(changeArbitrary, { maxLength: 40 }), changes => {
    const table = new DomainTable()
    let before: ListVersion = [0, 0]
    return changes.every(change => {
      table.apply(createChange(change))
      const after = table.getListVersion('a')
      const hasFallen = isHigherVersion(before, after)
      before = after
      return !hasFallen
    })
  }), { seed: 4, numRuns: 500 })
  t.pass()
})
