/**
 * HTTP endpoint client: outcomes of aborted and unsent requests.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

import { HttpEndpoint } from '@dragonflylever/adapters'
import test from 'ava'
import type { ExecutionContext } from 'ava'

const CLOSE_DELAY_MS = 300

/** Starts a server that accepts requests, never answers, and closes its side of a connection some time after the client has closed. */
async function openSlowServer (t: ExecutionContext): Promise<{ url: string, countClosed: () => number, received: Promise<void> }> {
  let closed = 0
  const sockets = new Set<Socket>()
  let onReceived = (): void => {}
  const received = new Promise<void>(resolve => { onReceived = resolve })
  const server = createServer({ allowHalfOpen: true }, socket => {
    sockets.add(socket)
    socket.on('data', onReceived)
    socket.on('error', () => {})
    socket.on('end', () => setTimeout(() => {
      closed++
      socket.end()
    }, CLOSE_DELAY_MS))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, countClosed: () => closed, received }
}

function createEndpoint (t: ExecutionContext, url: string): HttpEndpoint {
  const endpoint = new HttpEndpoint({ url, connections: 1 })
  t.teardown(() => endpoint.close())
  return endpoint
}

test('an aborted request ends only when the endpoint has closed its side of the connection', async t => {
  const server = await openSlowServer(t)
  const abort = new AbortController()
  const sent = createEndpoint(t, server.url).send({ method: 'POST', path: '/', headers: [], body: Buffer.from('x') }, abort.signal)
  await server.received
  abort.abort()
  t.is((await sent).kind, 'lost')
  t.is(server.countClosed(), 1)
})

test('a request to a port without a listener is reported as not sent', async t => {
  const outcome = await createEndpoint(t, 'http://127.0.0.1:1').send({ method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) }, new AbortController().signal)
  t.is(outcome.kind, 'notSent')
})
