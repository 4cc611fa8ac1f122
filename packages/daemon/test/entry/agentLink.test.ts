/**
 * Tests how an entry treats answers that belong to another attempt, are late, duplicated, truncated or too large. The agent is a raw socket.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

import { CallerLimit } from '@dragonflylever/protocol'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { AgentLink } from '../../src/index.js'
import type { AttemptResult, CallerRequest } from '../../src/index.js'

type Answer = (attemptId: string, socket: Socket) => void

interface Fixture {
  readonly link: AgentLink
  /** Resolves when a connection to the agent has closed. */
  readonly closed: Promise<void>
  send (attemptId: string): Promise<AttemptResult>
}

/** Opens an agent that answers its n-th dispatch with the n-th function, and all further dispatches with the last function. */
async function openAgent (t: ExecutionContext, ...answers: Answer[]): Promise<Fixture> {
  let next = 0
  let onClosed = (): void => {}
  const closed = new Promise<void>(resolve => { onClosed = resolve })
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('close', onClosed)
    socket.on('data', data => {
      const attemptId = /dfl-attempt: (\S+)/.exec(String(data))?.[1] ?? ''
      const answer = answers[Math.min(next++, answers.length - 1)]
      answer?.(attemptId, socket)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const link = new AgentLink({ entryId: 'entry-1', clusterKey: 'k'.repeat(16), connectionLimit: 1 })
  t.teardown(async () => {
    await link.close()
    server.close()
  })
  const target = { agentId: 'agent-1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, incarnation: 'i' }
  return { link, closed, send: attemptId => link.send(target, makeRequest(), attemptId, new AbortController().signal) }
}

function makeRequest (): CallerRequest {
  const now = performance.now()
  const names = { requestId: 'r', className: 'care-match', organisation: 'guild', caller: '', method: 'GET', path: '/x' }
  return { ...names, idempotencyKey: undefined, isIdempotent: true, arrivedAt: now, deadlineAt: now + 10_000, headers: [], traceparent: undefined, body: Buffer.alloc(0) }
}

function formatAnswer (attemptId: string, body: string, length: number | undefined = body.length): string {
  const framing = length === -1 ? 'connection: close' : `content-length: ${length}`
  return `HTTP/1.1 200 OK\r\ndfl-attempt: ${attemptId}\r\ndfl-result: answered\r\ndfl-status: 200\r\n${framing}\r\n\r\n${body}`
}

test('a complete answer with the id of the attempt is accepted', async t => {
  const agent = await openAgent(t, (attemptId, socket) => socket.write(formatAnswer(attemptId, 'whole')))
  const result = await agent.send('a1')
  t.is(result.kind === 'answered' ? result.answer.body.toString() : result.kind, 'whole')
})

test('an attempt is lost when the answer carries the id of another attempt', async t => {
  const agent = await openAgent(t, (_attemptId, socket) => socket.write(formatAnswer('other', 'crossed')))
  t.is((await agent.send('a1')).kind, 'lost')
})

test('a duplicated answer is never taken for the answer to the next request on the connection', async t => {
  const sendTwice: Answer = (attemptId, socket) => socket.write(formatAnswer(attemptId, 'first') + formatAnswer(attemptId, 'first'))
  const agent = await openAgent(t, sendTwice, (attemptId, socket) => socket.write(formatAnswer(attemptId, 'second')))
  t.is((await agent.send('a1')).kind, 'answered')
  const second = await agent.send('a2')
  t.is(second.kind === 'answered' ? second.answer.body.toString() : 'second', 'second')
})

test('a late answer to an abandoned attempt is never taken for the answer to the next request on the connection', async t => {
  const agent = await openAgent(t, (_attemptId, socket) => socket.write(formatAnswer('a0', 'late')))
  t.is((await agent.send('a1')).kind, 'lost')
  t.is((await agent.send('a2')).kind, 'lost')
})

test('an attempt is lost when its answer is truncated', async t => {
  const agent = await openAgent(t, (attemptId, socket) => socket.end(formatAnswer(attemptId, 'cut', 100)))
  t.is((await agent.send('a1')).kind, 'lost')
})

test('an attempt is lost when its answer has no content-length and ends with the connection', async t => {
  const agent = await openAgent(t, (attemptId, socket) => socket.end(formatAnswer(attemptId, 'unframed', -1)))
  t.is((await agent.send('a1')).kind, 'lost')
})

test('an attempt is lost when its answer is larger than the limit', async t => {
  const size = CallerLimit.answerBodyBytes + 1
  const agent = await openAgent(t, (attemptId, socket) => socket.end(formatAnswer(attemptId, 'x'.repeat(size))))
  t.is((await agent.send('a1')).kind, 'lost')
})

test('connections to a removed agent are closed, and the same address can be used again', async t => {
  const agent = await openAgent(t, (attemptId, socket) => socket.write(formatAnswer(attemptId, 'whole')))
  t.is((await agent.send('a1')).kind, 'answered')
  agent.link.closeConnectionsExcept(new Set())
  await agent.closed
  t.is((await agent.send('a2')).kind, 'answered')
})
