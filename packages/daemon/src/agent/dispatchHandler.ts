/**
 * HTTP handler for dispatches from entries: runs each attempt and answers with a result that carries the attempt's id.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

import { NotRunReason } from '@dragonflylever/core'
import type { HeaderList } from '@dragonflylever/core'
import { CallerLimit, DispatchHeader } from '@dragonflylever/protocol'
import { isSameKey, readBody, sendJson } from '@dragonflylever/runtime'
import type { Tracer } from '@dragonflylever/runtime'

import type { Attempt, RunResult, SlotRunner } from './slotRunner.js'

const SKIPPED_HEADERS = new Set(['host', 'connection', 'content-length', 'transfer-encoding', 'keep-alive'])
const SKIPPED_ANSWER_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length'])

const BUSY_RETRY_AFTER_MS = 500

/** Dependencies of {@link DispatchHandler}. */
export interface DispatchHandlerDependencies {
  readonly runner: SlotRunner
  readonly tracer: Tracer
  readonly clusterKey: string
  readonly incarnation: string
  /** Returns true once this agent has started to shut down; it then accepts no new dispatches. */
  readonly isLeaving: () => boolean
}

export class DispatchHandler {
  private readonly _dependencies: DispatchHandlerDependencies

  constructor (dependencies: DispatchHandlerDependencies) {
    this._dependencies = dependencies
  }

  /** Runs the attempt of one dispatch and writes its result as the answer; answers 401 when the cluster key is wrong. */
  async handle (message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!isSameKey(readHeader(message, DispatchHeader.clusterKey), this._dependencies.clusterKey)) {
      sendJson(response, 401, { error: 'the cluster key is missing or wrong' })
      return
    }
    const readResult = await readBody(message, { maxBytes: CallerLimit.requestBodyBytes })
    if (readResult.kind !== 'whole') {
      response.destroy()
      return
    }
    const attemptId = readHeader(message, DispatchHeader.attemptId) ?? ''
    const result = await this._runAttempt(message, response, attemptId, readResult.body)
    this._writeResult(response, attemptId, result)
  }

  /** Refuses a dispatch that arrived over a connection beyond the limit, and closes the connection. */
  refuse (message: IncomingMessage, response: ServerResponse): void {
    message.resume()
    response.setHeader('connection', 'close')
    this._writeResult(response, readHeader(message, DispatchHeader.attemptId) ?? '', { kind: 'notRun', reason: NotRunReason.overloaded, retryAfterMs: BUSY_RETRY_AFTER_MS })
  }

  private async _runAttempt (message: IncomingMessage, response: ServerResponse, attemptId: string, body: Buffer): Promise<RunResult> {
    if (readHeader(message, DispatchHeader.incarnation) !== this._dependencies.incarnation) return { kind: 'notRun', reason: NotRunReason.refused, retryAfterMs: 0 }
    if (this._dependencies.isLeaving()) return { kind: 'notRun', reason: NotRunReason.leaving, retryAfterMs: 0 }
    const gone = new AbortController()
    response.on('close', () => { if (!response.writableFinished) gone.abort() })
    const span = this._dependencies.tracer.start('agent.dispatch', readHeader(message, DispatchHeader.traceparent))
    const result = await this._dependencies.runner.run(parseAttempt(message, attemptId, body, span.traceparent), gone.signal)
    span.set('dfl.result', result.kind)
    span.end()
    return result
  }

  private _writeResult (response: ServerResponse, attemptId: string, result: RunResult): void {
    if (response.destroyed) return
    const headers: string[] = [
      DispatchHeader.attemptId, attemptId,
      DispatchHeader.result, result.kind,
      DispatchHeader.load, `${this._dependencies.runner.running},${this._dependencies.runner.waiting}`
    ]
    if (result.kind === 'answered') {
      headers.push(DispatchHeader.status, String(result.answer.status), 'content-length', String(result.answer.body.length))
      for (const [name, value] of result.answer.headers) if (!SKIPPED_ANSWER_HEADERS.has(name) && !name.startsWith('dfl-')) headers.push(name, value)
      response.writeHead(200, headers)
      response.end(result.answer.body)
      return
    }
    headers.push(DispatchHeader.reason, result.reason, 'content-length', '0')
    if (result.kind === 'notRun') headers.push(DispatchHeader.retryAfterMs, String(Math.round(result.retryAfterMs)))
    response.writeHead(200, headers)
    response.end()
  }
}

function readHeader (message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name]
  return Array.isArray(value) ? value[0] : value
}

function parseAttempt (message: IncomingMessage, attemptId: string, body: Buffer, traceparent: string | undefined): Attempt {
  const now = performance.now()
  const headers = listEndpointHeaders(message)
  return {
    attemptId,
    queued: {
      id: attemptId,
      className: readHeader(message, DispatchHeader.className) ?? '',
      organisation: readHeader(message, DispatchHeader.organisation) ?? '',
      caller: readHeader(message, DispatchHeader.caller) ?? '',
      arrivedAt: now,
      deadlineAt: now + Number(readHeader(message, DispatchHeader.remainingMs) ?? 0)
    },
    request: {
      method: readHeader(message, DispatchHeader.method) ?? 'GET',
      path: readHeader(message, DispatchHeader.path) ?? '/',
      headers: traceparent === undefined ? headers : [...headers, ['traceparent', traceparent]],
      body
    }
  }
}

function listEndpointHeaders (message: IncomingMessage): HeaderList {
  const pairs: Array<readonly [string, string]> = []
  for (let index = 0; index + 1 < message.rawHeaders.length; index += 2) {
    const name = (message.rawHeaders[index] ?? '').toLowerCase()
    if (SKIPPED_HEADERS.has(name) || name.startsWith('dfl-') || name === 'traceparent') continue
    pairs.push([name, message.rawHeaders[index + 1] ?? ''])
  }
  return pairs
}
