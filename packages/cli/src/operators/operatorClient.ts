/**
 * Client for the operators' port of an entry.
 */
import { describeCallFailure } from '@dragonflylever/adapters'
import { OperatorPath, applyOutcomeSchema, configurationAnswerSchema, fleetStatusSchema, historyAnswerSchema, queueReportSchema } from '@dragonflylever/protocol'
import type { ApplyOutcome, ApplyRequest, ConfigurationAnswer, FleetStatus, HistoryEntry, QueueReport } from '@dragonflylever/protocol'
import { request } from 'undici'

import type { OperatorTarget } from './operatorFlags.js'

/** Result of a call. `isSent` is false if the call certainly had no effect, because it did not reach the entry or the entry refused it. */
export type CallResult<T> =
  | { readonly kind: 'ok', readonly value: T }
  | { readonly kind: 'failed', readonly message: string, readonly isSent: boolean }

interface AnswerSchema<T> {
  safeParse (value: unknown): { success: true, data: T } | { success: false }
}

const TIMEOUT_MS = 15_000
const NO_EFFECT_STATUSES = new Set([400, 401, 403, 404, 413])

export class OperatorClient {
  private readonly _target: OperatorTarget

  constructor (target: OperatorTarget) {
    this._target = target
  }

  readConfiguration (): Promise<CallResult<ConfigurationAnswer>> {
    return this._call('GET', OperatorPath.configuration, configurationAnswerSchema)
  }

  /** Reads one accepted revision with its declarations. */
  readRevision (revision: string): Promise<CallResult<ConfigurationAnswer>> {
    return this._call('GET', `${OperatorPath.history}?revision=${encodeURIComponent(revision)}`, configurationAnswerSchema)
  }

  readHistory (): Promise<CallResult<{ entries: HistoryEntry[] }>> {
    return this._call('GET', OperatorPath.history, historyAnswerSchema)
  }

  readStatus (): Promise<CallResult<FleetStatus>> {
    return this._call('GET', OperatorPath.status, fleetStatusSchema)
  }

  /** Reads the report on the queue of the entry. */
  readQueue (): Promise<CallResult<QueueReport>> {
    return this._call('GET', OperatorPath.explain, queueReportSchema)
  }

  /** Sends a document with declarations once, without retries. */
  apply (message: ApplyRequest): Promise<CallResult<ApplyOutcome>> {
    return this._call('POST', OperatorPath.configuration, applyOutcomeSchema, message)
  }

  private async _call<T> (method: 'GET' | 'POST', path: string, schema: AnswerSchema<T>, body?: object): Promise<CallResult<T>> {
    const { url, key } = this._target
    try {
      const response = await request(`${url}${path}`, {
        method,
        headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(TIMEOUT_MS)
      })
      return parseAnswer(response.statusCode, await response.body.text(), schema)
    } catch (error) {
      const { isNotSent, message } = describeCallFailure(error)
      return { kind: 'failed', message: `${method} ${url}${path}: ${message}`, isSent: !isNotSent }
    }
  }
}

function parseAnswer<T> (status: number, text: string, schema: AnswerSchema<T>): CallResult<T> {
  const value = parseJson(text)
  const checked = schema.safeParse(value)
  if (checked.success) return { kind: 'ok', value: checked.data }
  const message = (value as { error?: unknown } | undefined)?.error ?? 'the answer has an unexpected format'
  return { kind: 'failed', message: `${status}: ${String(message)}`, isSent: !NO_EFFECT_STATUSES.has(status) }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
