/**
 * Classifies failed HTTP calls: those that certainly did not reach the receiver, and those that may have reached it.
 */

/** Codes of errors that occur while the connection is being opened, before any byte of the request is sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Why an HTTP call failed, and whether the request may have been received. */
export interface CallFailure {
  /** True when it is certain that the receiver got no part of the request. */
  readonly isNotSent: boolean
  readonly message: string
}

/** Describes the error with which an HTTP call was rejected. */
export function describeCallFailure (error: unknown): CallFailure {
  const { code, message } = error as { code?: string, message?: string }
  return { isNotSent: NOT_SENT_CODES.has(code ?? ''), message: message ?? String(error) }
}
