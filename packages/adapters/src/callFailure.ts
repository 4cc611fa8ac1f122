/**
 * Distinguishes failed calls that certainly did not reach the receiver from calls that may have.
 */

/** Codes of errors that occur before a connection is made, so that nothing was sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** A failed call. */
export interface CallFailure {
  /** True when it is certain that the receiver got nothing. */
  readonly isNotSent: boolean
  readonly message: string
}

/** Classifies the error of an HTTP call. */
export function describeCallFailure (error: unknown): CallFailure {
  const { code, message } = error as { code?: string, message?: string }
  return { isNotSent: NOT_SENT_CODES.has(code ?? ''), message: message ?? String(error) }
}
