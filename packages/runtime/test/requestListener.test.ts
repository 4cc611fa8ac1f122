/**
 * Case 5 of the review: an error that nobody handled, raised by one message, ended the process that served it.
 */
import { createServer } from 'node:http'

import { HttpClient, createLogger, createRequestListener, openServer, sendJson } from '@dragonflylever/runtime'
import test from 'ava'

test('a request whose handler fails unexpectedly is logged and left unanswered, and the next one is served', async t => {
  const lines: string[] = []
  const logger = createLogger({ level: 'error', processId: 't', destination: { write: (line: string) => { lines.push(line) } } })
  const server = createServer(createRequestListener(async (request, response) => {
    if (request.url === '/odd') throw new RangeError('no such thing')
    sendJson(response, 200, {})
  }, logger))
  const address = await openServer(server, '127.0.0.1:0')
  const client = new HttpClient({ maxConnections: 1, maxAnswerBytes: 1_000 })
  t.teardown(() => {
    client.close()
    server.close()
  })
  t.is((await client.call({ address, method: 'GET', path: '/odd', timeoutMs: 2_000 })).kind, 'lost')
  t.like(await client.call({ address, method: 'GET', path: '/', timeoutMs: 2_000 }), { kind: 'answered', status: 200 })
  t.is(lines.length, 1)
  t.like(JSON.parse(lines[0] ?? '') as object, { path: '/odd', message: 'no such thing' })
})
