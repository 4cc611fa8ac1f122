/**
 * Durable claims on idempotency keys: what the store holds for each key, and how it is written down.
 */
import type { Answer, HeaderList } from '../outcome.js'

/** Where a claim stands. `released` is proof that the claimed request did not run and never will. */
export const ClaimState = { claimed: 'claimed', answered: 'answered', released: 'released' } as const
export type ClaimState = typeof ClaimState[keyof typeof ClaimState]

/** One claim as the store holds it. */
export interface ClaimRecord {
  /** Request that holds the key. */
  readonly requestId: string
  /** Unique per write; tells a writer whether a write whose answer was lost took effect. */
  readonly nonce: string
  /** Digest of the request's method, path and body. */
  readonly digest: string
  readonly state: ClaimState
  /** The kept answer; absent while there is none or when it was too large to keep. */
  readonly answer?: Answer
}

interface EncodedAnswer {
  readonly status: number
  readonly headers: HeaderList
  readonly body: string
}

/** Writes a claim down as a value of the store. */
export function encodeClaim (record: ClaimRecord): string {
  const { answer, ...rest } = record
  if (answer === undefined) return JSON.stringify(rest)
  return JSON.stringify({ ...rest, answer: { ...answer, body: answer.body.toString('base64') } })
}

/** Reads a value of the store; undefined when it is no claim. */
export function decodeClaim (value: string): ClaimRecord | undefined {
  const parsed = parseObject(value)
  if (parsed === undefined) return undefined
  const { requestId, nonce, digest, state, answer } = parsed
  const isClaim = typeof requestId === 'string' && typeof nonce === 'string' && typeof digest === 'string' && isState(state)
  if (!isClaim) return undefined
  if (answer === undefined) return { requestId, nonce, digest, state }
  const { status, headers, body } = answer as EncodedAnswer
  return { requestId, nonce, digest, state, answer: { status, headers, body: Buffer.from(body, 'base64') } }
}

function parseObject (value: string): Record<string, unknown> | undefined {
  try {
    const parsed: unknown = JSON.parse(value)
    return typeof parsed === 'object' && parsed !== null ? parsed as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}

function isState (value: unknown): value is ClaimState {
  return Object.values<unknown>(ClaimState).includes(value)
}
