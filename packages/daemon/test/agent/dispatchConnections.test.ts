/**
 * Tests how an agent shares its connections among entries.
 */
import { EventEmitter } from 'node:events'

import test from 'ava'

import { DispatchConnections } from '../../src/agent/dispatchConnections.js'

interface Fixture {
  readonly refused: string[]
  /** Sends a dispatch over a new connection. With `isBusy` the dispatch never ends. */
  open (entryId: string, isBusy: boolean): Promise<{ isEnded: boolean }>
}

function createFixture (): Fixture {
  const refused: string[] = []
  const handler = {
    handle: async (message: { isBusy: boolean }) => { if (message.isBusy) await new Promise(() => {}) },
    refuse: (message: { headers: Record<string, string> }) => { refused.push(message.headers['dfl-entry'] ?? '') }
  }
  const connections = new DispatchConnections({ maxConnections: 16, handler: handler as never })
  const open: Fixture['open'] = async (entryId, isBusy) => {
    const socket = Object.assign(new EventEmitter(), { isEnded: false, end: () => { socket.isEnded = true } })
    const handled = connections.handle({ socket, headers: { 'dfl-entry': entryId }, isBusy } as never, {} as never)
    if (!isBusy) await handled
    return socket
  }
  return { refused, open }
}

test('with a limit of 16 connections the fifth dispatch connection is refused, since twelve are reserved for control calls', async t => {
  const { open, refused } = createFixture()
  for (let index = 0; index < 5; index++) await open('entry-1', true)
  t.deepEqual(refused, ['entry-1'])
})

test('at the limit an idle connection of the entry with the most connections is closed in favour of a new entry, and busy connections stay open', async t => {
  const { open, refused } = createFixture()
  const busy = await open('entry-1', true)
  const idle = await Promise.all(Array.from({ length: 3 }, () => open('entry-1', false)))
  await open('entry-2', true)
  t.deepEqual(refused, [])
  t.false(busy.isEnded)
  t.is(idle.filter(socket => socket.isEnded).length, 1)
})
