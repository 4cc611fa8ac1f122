/**
 * The HTTP client over connections that fall silent without being reset, and with values that no request can be made of.
 */
import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

import { HttpClient } from '@dragonflylever/runtime'
import type { HttpOutcome } from '@dragonflylever/runtime'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'

const CONNECTIONS = 4
const PARTS = 12
const PART_BYTES = 1_000

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

test('a call with an address, path or header value that no request can be made of is not sent, and does not reject', async t => {
  const client = new HttpClient({ maxConnections: 1, maxAnswerBytes: 1_000 })
  t.teardown(() => client.close())
  const call = { address: '127.0.0.1:1', method: 'GET', path: '/', timeoutMs: 100 } as const
  for (const change of [{ address: '127.0.0.1:85290' }, { address: '127.0.0.1:-1' }, { address: '127.0.0.1:x' }, { address: '' }, { path: '/a b\n' }, { headers: { 'x-id': 'i-\nodd' } }]) {
    t.like(await client.call({ ...call, ...change }), { kind: 'notSent', isRefused: false })
  }
  const text = fc.string({ unit: 'binary' })
  await fc.assert(fc.asyncProperty(text, text, text, fc.integer(), async (host, path, header, port) => {
    const outcome = await client.call({ ...call, address: `${host.includes('.') ? '' : '127.0.0.1'}:${port < 0 || port > 65_535 ? port : port + 65_536}`, path, headers: { 'x-id': header } })
    t.is(outcome.kind, 'notSent')
  }), { seed: 30, numRuns: 200 })
})

/** Opens a server that sends the head of an answer and then `parts` parts of it, one every `intervalMs`. */
async function openSlowServer (t: ExecutionContext, parts: number, intervalMs: number): Promise<string> {
  const server = createServer((_request, response) => {
    let sent = 0
    response.writeHead(200)
    const timer = setInterval(() => {
      response.write('x'.repeat(PART_BYTES))
      if (++sent < parts) return
      clearInterval(timer)
      if (parts === PARTS) response.end()
    }, intervalMs)
    t.teardown(() => clearInterval(timer))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

for (const [title, parts, transfer, kind] of [
  ['an answer whose parts keep arriving is received, although it takes longer than the timeout of the call', PARTS, { maxGapMs: 5_000, maxMs: 10_000 }, 'answered'],
  ['a call whose answer stops arriving is lost after the longest gap', 3, { maxGapMs: 300, maxMs: 10_000 }, 'lost'],
  ['a call whose answer arrives without an end is lost after the longest transfer', PARTS, { maxGapMs: 5_000, maxMs: 150 }, 'lost'],
  ['without limits of its transfer, an answer has the timeout of the call', PARTS, undefined, 'lost']
] as const) {
  test(title, async t => {
    const address = await openSlowServer(t, parts, 30)
    const client = new HttpClient({ maxConnections: 1, maxAnswerBytes: 1_000_000 })
    t.teardown(() => client.close())
    let received = 0
    const outcome = await client.call({ address, method: 'GET', path: '/', timeoutMs: 200, ...(transfer === undefined ? {} : { transfer }), onPart: part => { received += part.length } })
    t.is(outcome.kind, kind)
    if (outcome.kind === 'answered') t.is(received, PARTS * PART_BYTES)
    else if (outcome.kind === 'lost') t.regex(outcome.message, /was not complete within \d+ ms; \d+ bytes/)
  })
}
