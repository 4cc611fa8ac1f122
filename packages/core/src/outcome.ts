/**
 * Outcomes of a caller's request and of one attempt to run it. Outcomes are plain values; no function of this module throws.
 */

/** Why a request was not run. A reason is given only when it is certain that no endpoint started the request. */
export const NotRunReason = {
  badRequest: 'badRequest',
  tooLarge: 'tooLarge',
  unauthorised: 'unauthorised',
  overloaded: 'overloaded',
  deadlineTooShort: 'deadlineTooShort',
  deadlinePassed: 'deadlinePassed',
  noEndpoint: 'noEndpoint',
  noConfiguration: 'noConfiguration',
  storeUnavailable: 'storeUnavailable',
  keyReused: 'keyReused',
  cancelled: 'cancelled',
  leaving: 'leaving',
  refused: 'refused'
} as const
export type NotRunReason = typeof NotRunReason[keyof typeof NotRunReason]

/** Why it is unknown whether a request ran. */
export const UnknownReason = {
  answerLost: 'answerLost',
  answerTruncated: 'answerTruncated',
  answerTooLarge: 'answerTooLarge',
  deadlinePassed: 'deadlinePassed',
  alreadyClaimed: 'alreadyClaimed',
  answerNotKept: 'answerNotKept'
} as const
export type UnknownReason = typeof UnknownReason[keyof typeof UnknownReason]

/** Header fields of an answer as pairs of name and value, with names in lower case. */
export type HeaderList = ReadonlyArray<readonly [string, string]>

/** A complete answer of an endpoint. */
export interface Answer {
  readonly status: number
  readonly headers: HeaderList
  readonly body: Buffer
}

/** Final result that is reported to a caller; exactly one per request. */
export type Outcome =
  | { readonly kind: 'answered', readonly answer: Answer, readonly isReplayed: boolean }
  | { readonly kind: 'notRun', readonly reason: NotRunReason, readonly message: string, readonly retryAfterMs?: number }
  | { readonly kind: 'unknown', readonly reason: UnknownReason, readonly message: string }

/** Builds an `answered` outcome. */
export function makeAnswered (answer: Answer, isReplayed = false): Outcome {
  return { kind: 'answered', answer, isReplayed }
}

/** Builds a `notRun` outcome; `retryAfterMs` is in milliseconds. */
export function makeNotRun (reason: NotRunReason, message: string, retryAfterMs?: number): Outcome & { kind: 'notRun' } {
  return retryAfterMs === undefined
    ? { kind: 'notRun', reason, message }
    : { kind: 'notRun', reason, message, retryAfterMs }
}

/** Builds an `unknown` outcome. */
export function makeUnknown (reason: UnknownReason, message: string): Outcome & { kind: 'unknown' } {
  return { kind: 'unknown', reason, message }
}
