import { MemoryStore, createEntrySettings, createSampleDeclarations, encodeFirstConfiguration } from '@dragonflylever/standins'
import test from 'ava'

import { EntryProcess } from '../src/index.js'

test('the operator server reports on the entry\'s queue, and only to requests with the operators\' key', async t => {
  const store = new MemoryStore()
  await store.put({ key: 'dragonflylever/config', value: encodeFirstConfiguration(createSampleDeclarations()), expect: { kind: 'any' } })
  const settings = { ...createEntrySettings({ id: 'entry-1', storeUrl: 'http://127.0.0.1:1', logLevel: 'silent' }), operatorsKey: 'operators-key' }
  const entry = await EntryProcess.start(settings, { store })
  t.teardown(() => entry.stop())
  const url = `http://${entry.operatorAddress}/v1/explain`
  t.is((await fetch(url)).status, 401)
  const response = await fetch(url, { headers: { authorization: 'Bearer operators-key' } })
  t.deepEqual(await response.json(), entry.describeQueue())
})
