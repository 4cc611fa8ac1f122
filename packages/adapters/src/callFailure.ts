/**
 * Tells a call that surely never reached its receiver from one that may have.
 */

/** Codes of errors that come before anything is sent: no connection was made. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** A failed call. */
export interface CallFailure {
  /** True is proof that the receiver got nothing. */
  readonly isNotSent: boolean
  readonly message: string
}

/** Describes the error of a call over HTTP. */
export function describeCallFailure (error: unknown): CallFailure {
  const { code, message } = error as { code?: string, message?: string }
  return { isNotSent: NOT_SENT_CODES.has(code ?? ''), message: message ?? String(error) }
}
