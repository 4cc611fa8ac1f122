/**
 * The HTTP client over connections that fall silent without being reset.
 */
import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

import { HttpClient } from '@dragonflylever/runtime'
import type { HttpOutcome } from '@dragonflylever/runtime'
import test from 'ava'

const CONNECTIONS = 4

test('after all open connections have fallen silent, only the first call is lost', async t => {
  const open = new Set<Socket>()
  const silent = new Set<Socket>()
  const waiting: Array<() => void> = []
  const server = createServer((request, response) => {
    if (silent.has(request.socket)) return
    waiting.push(() => response.end('{}'))
    // All calls of the first round are answered together, so that each has a connection of its own.
    if (silent.size > 0 || waiting.length === CONNECTIONS) for (const answer of waiting.splice(0)) answer()
  })
  server.on('connection', (socket: Socket) => open.add(socket))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const client = new HttpClient({ maxConnections: CONNECTIONS, maxAnswerBytes: 1_000 })
  t.teardown(() => {
    client.close()
    server.closeAllConnections()
    server.close()
  })
  const call = (): Promise<HttpOutcome> => client.call({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', timeoutMs: 300 })
  await Promise.all(Array.from({ length: CONNECTIONS }, call))
  t.is(open.size, CONNECTIONS)
  for (const socket of open) silent.add(socket)
  t.is((await call()).kind, 'lost')
  for (let count = 0; count < CONNECTIONS; count++) t.is((await call()).kind, 'answered')
})
