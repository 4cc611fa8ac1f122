/**
 * Sends invalid requests over raw sockets: each is refused with the right 4xx status and no part of it is forwarded to an agent.
 */
import { once } from 'node:events'
import { connect } from 'node:net'

import { makeAnswered } from '@dragonflylever/core'
import { CallerLimit } from '@dragonflylever/protocol'
import { Blackboard, ClientGuard, NoMetrics, PropagatingTracer, createLogger } from '@dragonflylever/runtime'
import { createSampleDeclarations } from '@dragonflylever/standins'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { CallerServer } from '../../src/entry/callerServer.js'
import { createInitialFleetState } from '../../src/index.js'
import type { CallerRequest } from '../../src/index.js'

const VALID_HEADERS = ['host: x', 'dfl-class: care-match', 'dfl-organisation: guild']

interface Fixture {
  readonly port: number
  readonly served: CallerRequest[]
}

async function openEntry (t: ExecutionContext): Promise<Fixture> {
  const board = new Blackboard(createInitialFleetState())
  board.set('configuration', { revision: 1, declarations: createSampleDeclarations(), acceptedAt: 0, nonce: 'n', acceptedBy: 'test' })
  const served: CallerRequest[] = []
  const service = {
    serve: async (request: CallerRequest) => {
      served.push(request)
      return makeAnswered({ status: 200, headers: [], body: Buffer.from(request.path) })
    }
  }
  const logger = createLogger({ level: 'silent', processId: 'test' })
  const guard = new ClientGuard({ limits: { maxHeldBytes: 8 * 1024 * 1024 }, metrics: new NoMetrics(), logger })
  t.teardown(() => guard.close())
  const server = new CallerServer({
    board,
    service,
    jobs: { handle: async () => {} },
    metrics: new NoMetrics(),
    tracer: new PropagatingTracer(),
    organisationKeys: undefined,
    guard,
    logger
  })
  const address = await server.open('127.0.0.1:0')
  t.teardown(() => server.close())
  return { port: Number(address.split(':')[1]), served }
}

/** Sends the text and returns everything received until the server closes the connection or has sent `answers` answers. */
async function callRaw (port: number, text: string | Buffer, answers = 1): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  socket.on('error', () => {})
  socket.write(text)
  let received = ''
  for await (const chunk of socket) {
    received += String(chunk)
    if (received.split('HTTP/1.1 ').length > answers && received.includes('\r\n\r\n')) break
  }
  socket.destroy()
  return received
}

function makeHead (lines: readonly string[], first = 'POST /v1/call/match HTTP/1.1'): string {
  return `${[first, ...lines].join('\r\n')}\r\n\r\n`
}

const CASES: ReadonlyArray<readonly [string, string, number]> = [
  ['no class', makeHead(['host: x', 'dfl-organisation: guild']), 400],
  ['unknown class', makeHead(['host: x', 'dfl-class: nothing', 'dfl-organisation: guild']), 400],
  ['a class for jobs', makeHead(['host: x', 'dfl-class: recipe-run', 'dfl-organisation: guild']), 400],
  ['a property name of Object.prototype as class', makeHead(['host: x', 'dfl-class: constructor', 'dfl-organisation: guild']), 400],
  ['no organisation', makeHead(['host: x', 'dfl-class: care-match']), 400],
  ['unknown organisation', makeHead(['host: x', 'dfl-class: care-match', 'dfl-organisation: nobody']), 400],
  ['a property name of Object.prototype as organisation', makeHead(['host: x', 'dfl-class: care-match', 'dfl-organisation: constructor']), 400],
  ['two classes', makeHead([...VALID_HEADERS, 'dfl-class: allergen-check']), 400],
  ['two idempotency keys', makeHead([...VALID_HEADERS, 'idempotency-key: a', 'idempotency-key: b']), 400],
  ['an idempotency key too long', makeHead([...VALID_HEADERS, `idempotency-key: ${'k'.repeat(256)}`]), 400],
  ['a caller with spaces', makeHead([...VALID_HEADERS, 'dfl-caller: a b']), 400],
  ['a negative deadline', makeHead([...VALID_HEADERS, 'dfl-deadline-ms: -1']), 400],
  ['a deadline in words', makeHead([...VALID_HEADERS, 'dfl-deadline-ms: soon']), 400],
  ['a deadline beyond the limit', makeHead([...VALID_HEADERS, 'dfl-deadline-ms: 600001']), 400],
  ['a header line without colon', makeHead([...VALID_HEADERS, 'nonsense']), 400],
  ['a head too large', makeHead([...VALID_HEADERS, `x-big: ${'x'.repeat(CallerLimit.headerBytes)}`]), 431],
  ['too many header fields', makeHead([...VALID_HEADERS, ...Array.from({ length: 70 }, (_, index) => `x-${index}: 1`)]), 431],
  ['no host', makeHead(VALID_HEADERS.slice(1)), 400],
  ['a body declared too large', makeHead([...VALID_HEADERS, `content-length: ${CallerLimit.requestBodyBytes + 1}`]), 413],
  ['a content-length that is no number', makeHead([...VALID_HEADERS, 'content-length: ten']), 400],
  ['both content-length and transfer-encoding', makeHead([...VALID_HEADERS, 'content-length: 3', 'transfer-encoding: chunked']), 400],
  ['a broken chunk', `${makeHead([...VALID_HEADERS, 'transfer-encoding: chunked'])}zz\r\n`, 400],
  ['another prefix', makeHead(VALID_HEADERS, 'POST /v1/callmatch HTTP/1.1'), 404],
  ['no path', makeHead(VALID_HEADERS, 'POST /v1/call HTTP/1.1'), 404],
  ['an absolute URL', makeHead(VALID_HEADERS, 'POST http://other/v1/call/x HTTP/1.1'), 404],
  ['dot segments', makeHead(VALID_HEADERS, 'POST /v1/call/a/../../admin HTTP/1.1'), 400],
  ['escaped dot segments', makeHead(VALID_HEADERS, 'POST /v1/call/a/%2E%2e%2fadmin HTTP/1.1'), 400],
  ['a backslash with dots', makeHead(VALID_HEADERS, 'POST /v1/call/a\\..\\admin HTTP/1.1'), 400],
  ['a broken escape', makeHead(VALID_HEADERS, 'POST /v1/call/%zz HTTP/1.1'), 400],
  ['a path too long', makeHead(VALID_HEADERS, `POST /v1/call/${'a'.repeat(CallerLimit.pathLength)} HTTP/1.1`), 414],
  ['a method not served', makeHead(VALID_HEADERS, 'TRACE /v1/call/x HTTP/1.1'), 405],
  ['no HTTP', 'hello\r\n\r\n', 400]
]

for (const [name, text, status] of CASES) {
  test(`${name} gets ${status} and nothing is forwarded`, async t => {
    const entry = await openEntry(t)
    const answer = await callRaw(entry.port, text)
    t.true(answer.startsWith(`HTTP/1.1 ${status} `), answer.slice(0, 200))
    t.deepEqual(entry.served, [])
  })
}

test('a chunked body that grows too large gets 413 and nothing is forwarded', async t => {
  const entry = await openEntry(t)
  const chunk = `100000\r\n${'x'.repeat(0x100000)}\r\n`
  const answer = await callRaw(entry.port, makeHead([...VALID_HEADERS, 'transfer-encoding: chunked']) + chunk.repeat(5))
  t.true(answer.startsWith('HTTP/1.1 413 '), answer.slice(0, 200))
  t.deepEqual(entry.served, [])
})

test('a request whose sender disconnects before the end of the body is not forwarded', async t => {
  const entry = await openEntry(t)
  const socket = connect(entry.port, '127.0.0.1')
  socket.write(`${makeHead([...VALID_HEADERS, 'content-length: 100'])}half`)
  socket.end()
  socket.resume()
  await once(socket, 'close')
  t.deepEqual(entry.served, [])
})

test('a client that closes its sending side after a complete request gets its answer', async t => {
  const entry = await openEntry(t)
  const socket = connect({ port: entry.port, host: '127.0.0.1', allowHalfOpen: true })
  socket.end(`${makeHead([...VALID_HEADERS, 'content-length: 4'])}body`)
  let received = ''
  for await (const chunk of socket) received += String(chunk)
  t.true(received.startsWith('HTTP/1.1 200 '), received.slice(0, 200))
  t.is(entry.served.length, 1)
})

test('a client that sends its head too slowly gets 408 and nothing is forwarded', async t => {
  const entry = await openEntry(t)
  const answer = await callRaw(entry.port, 'POST /v1/call/match HTTP/1.1\r\nhost: x\r\n')
  t.true(answer.startsWith('HTTP/1.1 408 '), answer.slice(0, 200))
  t.deepEqual(entry.served, [])
})

test('pipelined requests on one connection get their own answers in order', async t => {
  const entry = await openEntry(t)
  const paths = ['/a', '/b?q=1', '/c']
  const answer = await callRaw(entry.port, paths.map(path => makeHead([...VALID_HEADERS, 'content-length: 0'], `POST /v1/call${path} HTTP/1.1`)).join(''), 3)
  t.deepEqual(answer.match(/\r\n\r\n(\/[^H]*)/g)?.map(text => text.trim()), paths)
})

test('a caller whose body is too large can read the whole refusal while it is still writing, and can reuse the connection', async t => {
  const { port, served } = await openEntry(t)
  const socket = connect(port, '127.0.0.1')
  const errors: Error[] = []
  socket.on('error', error => errors.push(error))
  let received = ''
  socket.on('data', chunk => { received += String(chunk) })
  const bodyBytes = CallerLimit.requestBodyBytes + 1
  socket.write(makeHead([...VALID_HEADERS, `content-length: ${bodyBytes}`]))
  await once(socket, 'data')
  const piece = Buffer.alloc(64 * 1024, 'x')
  for (let sent = 0; sent < bodyBytes; sent += piece.length) {
    socket.write(piece.subarray(0, Math.min(piece.length, bodyBytes - sent)))
    await new Promise(resolve => setImmediate(resolve))
  }
  socket.write(`${makeHead([...VALID_HEADERS, 'content-length: 1'])}x`)
  while (!received.includes('HTTP/1.1 200') && !socket.closed) await Promise.race([once(socket, 'data'), once(socket, 'close')])
  socket.destroy()
  t.deepEqual(errors, [])
  t.regex(received, /^HTTP\/1\.1 413 /)
  t.is(served.length, 1)
})

test('a caller that keeps sending a refused body is disconnected', async t => {
  const { port } = await openEntry(t)
  const socket = connect(port, '127.0.0.1')
  socket.on('error', () => {})
  socket.resume()
  socket.write(makeHead([...VALID_HEADERS, 'transfer-encoding: chunked']))
  const piece = Buffer.alloc(1024 * 1024, 'x')
  let sent = 0
  while (!socket.closed && sent < 64 * piece.length) {
    socket.write(`${piece.length.toString(16)}\r\n`)
    socket.write(piece)
    socket.write('\r\n')
    sent += piece.length
    // Counts what the server has taken, not what waits to be sent.
    while (socket.writableNeedDrain && !socket.closed) await new Promise(resolve => setImmediate(resolve))
  }
  t.true(socket.closed)
})
