/**
 * Parses and validates a caller's request. The request line and the headers are checked completely here, before anything is sent to an agent.
 */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

import { NotRunReason } from '@dragonflylever/core'
import type { HeaderList } from '@dragonflylever/core'
import { CALL_PATH_PREFIX, CallerHeader, CallerLimit, parseDuration } from '@dragonflylever/protocol'
import type { Configuration } from '@dragonflylever/protocol'
import { isSameKey } from '@dragonflylever/runtime'

/** A request whose head has been validated. Times are in milliseconds of the monotonic clock. */
export interface CallerRequest {
  readonly requestId: string
  readonly className: string
  readonly organisation: string
  readonly caller: string
  readonly idempotencyKey: string | undefined
  readonly isIdempotent: boolean
  readonly arrivedAt: number
  readonly deadlineAt: number
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly traceparent: string | undefined
  readonly body: Buffer
}

/** Refusal of a request: `status` is the HTTP status, `message` tells the caller what is wrong and how to correct it. */
export interface Refusal {
  readonly kind: 'refused'
  readonly status: number
  readonly reason: NotRunReason
  readonly message: string
}

export type ParsedRequest = { readonly kind: 'valid', readonly request: Omit<CallerRequest, 'body'> } | Refusal

const METHODS = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])
const NAME_PATTERN = /^[a-z][a-z0-9-]*$/
const PRINTABLE_PATTERN = /^[\x21-\x7e]+$/
const PATH_PATTERN = /^\/[\x21-\x7e]*$/
const INVALID_PATH_PATTERN = /#|%00|%(?![0-9a-f]{2})/i
/** Characters and escapes that an endpoint may interpret as a separator of path segments. */
const SEPARATOR_PATTERN = /[/\\]|%2f|%5c/i
const TRACEPARENT_PATTERN = /^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$/
const NOT_FORWARDED_HEADERS = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect', 'traceparent', 'authorization', 'idempotency-key'])

/** State of the process on which validation depends. `now` is the time of the monotonic clock in milliseconds. */
export interface ParseContext {
  readonly configuration: Configuration | undefined
  readonly organisationKeys: Readonly<Record<string, string>> | undefined
  readonly now: number
}

/** Validates the request line and headers of a caller's request; returns the request without its body, or a refusal. */
export function parseCallerRequest (message: IncomingMessage, context: ParseContext): ParsedRequest {
  const { configuration } = context
  if (configuration === undefined) return makeRefusal(503, NotRunReason.noConfiguration, 'no configuration is in force yet; try again shortly')
  const path = parsePath(message.url ?? '')
  if (typeof path !== 'string') return path
  if (!METHODS.has(message.method ?? '')) return makeRefusal(405, NotRunReason.badRequest, `method ${message.method} is not served; use one of ${[...METHODS].join(', ')}`)
  if (message.rawHeaders.length / 2 > CallerLimit.headerFields) return makeRefusal(431, NotRunReason.badRequest, `more than ${CallerLimit.headerFields} header fields`)
  const className = readNameHeader(message, CallerHeader.className)
  if (typeof className !== 'string') return className
  const { classes } = configuration.declarations
  const declaration = Object.hasOwn(classes, className) ? classes[className] : undefined
  if (declaration === undefined) return makeRefusal(400, NotRunReason.badRequest, `class "${className}" is not declared; declared are ${formatKeys(classes)}`)
  if (declaration.kind !== 'request') return makeRefusal(400, NotRunReason.badRequest, `class "${className}" is for jobs; submit it at /v1/jobs`)
  const organisation = readNameHeader(message, CallerHeader.organisation)
  if (typeof organisation !== 'string') return organisation
  if (!Object.hasOwn(configuration.declarations.organisations, organisation)) return makeRefusal(400, NotRunReason.badRequest, `organisation "${organisation}" is not declared`)
  if (!isAuthorised(message, organisation, context.organisationKeys)) return makeRefusal(401, NotRunReason.unauthorised, `the key for organisation "${organisation}" is missing or wrong; send it as "authorization: Bearer KEY"`)
  const caller = readPrintableHeader(message, CallerHeader.caller, CallerLimit.callerLength)
  if (typeof caller === 'object') return caller
  const idempotencyKey = readPrintableHeader(message, CallerHeader.idempotencyKey, CallerLimit.idempotencyKeyLength)
  if (typeof idempotencyKey === 'object') return idempotencyKey
  const deadlineMs = readDeadline(message, parseDuration(declaration.finishWithin) ?? CallerLimit.defaultDeadlineMs)
  if (typeof deadlineMs !== 'number') return deadlineMs
  const request = {
    requestId: randomUUID(),
    className,
    organisation,
    caller: caller ?? '',
    idempotencyKey,
    isIdempotent: declaration.idempotent,
    arrivedAt: context.now,
    deadlineAt: context.now + deadlineMs,
    method: message.method ?? 'GET',
    path,
    headers: listForwardedHeaders(message),
    traceparent: readTraceparent(message)
  }
  return { kind: 'valid', request }
}

/** Creates the {@link Refusal} of a request. */
export function makeRefusal (status: number, reason: NotRunReason, message: string): Refusal {
  return { kind: 'refused', status, reason, message }
}

function parsePath (url: string): string | Refusal {
  if (url.length > CallerLimit.pathLength) return makeRefusal(414, NotRunReason.badRequest, `the path is longer than ${CallerLimit.pathLength} characters`)
  const path = url.slice(CALL_PATH_PREFIX.length)
  const isCall = url.startsWith(CALL_PATH_PREFIX) && PATH_PATTERN.test(path)
  if (!isCall) return makeRefusal(404, NotRunReason.badRequest, `paths start with ${CALL_PATH_PREFIX}/`)
  if (INVALID_PATH_PATTERN.test(path)) return makeRefusal(400, NotRunReason.badRequest, 'the path holds a fragment, a zero byte or a broken percent escape')
  const segments = (path.split('?')[0] ?? '').split(SEPARATOR_PATTERN)
  if (segments.some(isDotSegment)) return makeRefusal(400, NotRunReason.badRequest, 'the path holds a "." or ".." segment')
  return path
}

function isDotSegment (segment: string): boolean {
  const unescaped = segment.replace(/%2e/gi, '.')
  return unescaped === '.' || unescaped === '..'
}

function readSingleHeader (message: IncomingMessage, name: string): string | undefined | Refusal {
  const values = message.headersDistinct[name] ?? []
  if (values.length > 1) return makeRefusal(400, NotRunReason.badRequest, `header ${name} is given ${values.length} times; give it once`)
  return values[0]
}

function readNameHeader (message: IncomingMessage, name: string): string | Refusal {
  const value = readSingleHeader(message, name)
  if (typeof value === 'object') return value
  if (value === undefined || value === '') return makeRefusal(400, NotRunReason.badRequest, `header ${name} is missing`)
  const isName = value.length <= CallerLimit.nameLength && NAME_PATTERN.test(value)
  if (!isName) return makeRefusal(400, NotRunReason.badRequest, `header ${name} must be lower-case letters, digits and hyphens, at most ${CallerLimit.nameLength}`)
  return value
}

function readPrintableHeader (message: IncomingMessage, name: string, maxLength: number): string | undefined | Refusal {
  const value = readSingleHeader(message, name)
  if (value === undefined || typeof value === 'object') return value
  const isValid = value.length <= maxLength && PRINTABLE_PATTERN.test(value)
  if (!isValid) return makeRefusal(400, NotRunReason.badRequest, `header ${name} must be 1 to ${maxLength} printable ASCII characters without spaces`)
  return value
}

function readDeadline (message: IncomingMessage, targetMs: number): number | Refusal {
  const value = readSingleHeader(message, CallerHeader.deadlineMs)
  if (typeof value === 'object') return value
  if (value === undefined) return Math.min(targetMs, CallerLimit.maxDeadlineMs)
  const deadlineMs = /^\d{1,9}$/.test(value) ? Number(value) : NaN
  const isValid = deadlineMs >= CallerLimit.minDeadlineMs && deadlineMs <= CallerLimit.maxDeadlineMs
  if (!isValid) return makeRefusal(400, NotRunReason.badRequest, `header ${CallerHeader.deadlineMs} must be a whole number of milliseconds from ${CallerLimit.minDeadlineMs} to ${CallerLimit.maxDeadlineMs}`)
  return deadlineMs
}

/** Returns true when the message carries the organisation's key, or when the deployment uses no organisation keys. */
export function isAuthorised (message: IncomingMessage, organisation: string, keys: Readonly<Record<string, string>> | undefined): boolean {
  if (keys === undefined) return true
  const expected = keys[organisation]
  const presented = /^Bearer (.+)$/.exec(message.headers.authorization ?? '')?.[1]
  return expected !== undefined && isSameKey(presented, expected)
}

function readTraceparent (message: IncomingMessage): string | undefined {
  const value = message.headers[CallerHeader.traceparent]
  return typeof value === 'string' && TRACEPARENT_PATTERN.test(value) ? value : undefined
}

function listForwardedHeaders (message: IncomingMessage): HeaderList {
  const connectionHeaders = new Set((message.headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()))
  const pairs: Array<readonly [string, string]> = []
  for (let index = 0; index + 1 < message.rawHeaders.length; index += 2) {
    const name = (message.rawHeaders[index] ?? '').toLowerCase()
    if (NOT_FORWARDED_HEADERS.has(name) || connectionHeaders.has(name) || name.startsWith('dfl-')) continue
    pairs.push([name, message.rawHeaders[index + 1] ?? ''])
  }
  return pairs
}

function formatKeys (record: object): string {
  return Object.keys(record).join(', ')
}
