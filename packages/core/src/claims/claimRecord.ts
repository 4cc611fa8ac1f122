/**
 * Durable claims on idempotency keys: the record that the store holds for each key, and its encoding.
 */
import type { Answer, HeaderList } from '../outcome.js'

/** State of a claim. `released` guarantees that the claiming request did not run and never will. */
export const ClaimState = { claimed: 'claimed', answered: 'answered', released: 'released' } as const
export type ClaimState = typeof ClaimState[keyof typeof ClaimState]

/** The claim on one idempotency key, as stored. */
export interface ClaimRecord {
  /** Id of the request that claimed the key. */
  readonly requestId: string
  /** Unique for each write. When the store's answer to a write is lost, the writer finds out by the nonce whether the write was applied. */
  readonly nonce: string
  /** Digest of the request's method, path and body. */
  readonly digest: string
  readonly state: ClaimState
  /** Answer for repeated requests; absent before the request is answered, and when the answer was too large to keep. */
  readonly answer?: Answer
}

interface EncodedAnswer {
  readonly status: number
  readonly headers: HeaderList
  readonly body: string
}

/** Encodes a claim as the value that is stored under its key. */
export function encodeClaim (record: ClaimRecord): string {
  const { answer, ...rest } = record
  if (answer === undefined) return JSON.stringify(rest)
  return JSON.stringify({ ...rest, answer: { ...answer, body: answer.body.toString('base64') } })
}

/** Decodes a claim from its stored value. Returns undefined when the value is not a claim. */
export function decodeClaim (value: string): ClaimRecord | undefined {
  const parsed = parseObject(value)
  if (parsed === undefined) return undefined
  const { requestId, nonce, digest, state, answer } = parsed
  const isClaim = typeof requestId === 'string' && typeof nonce === 'string' && typeof digest === 'string' && isClaimState(state)
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

function isClaimState (value: unknown): value is ClaimState {
  return Object.values<unknown>(ClaimState).includes(value)
}
