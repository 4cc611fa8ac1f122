/**
 * Names of the HTTP headers between callers, entries and agents, limits on what callers may send, and paths.
 */

/** Headers that a caller sends or receives. */
export const CallerHeader = {
  className: 'dfl-class',
  organisation: 'dfl-organisation',
  caller: 'dfl-caller',
  deadlineMs: 'dfl-deadline-ms',
  idempotencyKey: 'idempotency-key',
  organisationKey: 'authorization',
  requestId: 'dfl-request-id',
  outcome: 'dfl-outcome',
  reason: 'dfl-reason',
  replayed: 'dfl-replayed',
  traceparent: 'traceparent'
} as const

/** Headers between an entry and an agent. */
export const DispatchHeader = {
  clusterKey: 'dfl-cluster-key',
  entryId: 'dfl-entry',
  requestId: 'dfl-request-id',
  attemptId: 'dfl-attempt',
  incarnation: 'dfl-incarnation',
  className: 'dfl-class',
  organisation: 'dfl-organisation',
  caller: 'dfl-caller',
  remainingMs: 'dfl-remaining-ms',
  method: 'dfl-method',
  path: 'dfl-path',
  result: 'dfl-result',
  reason: 'dfl-reason',
  status: 'dfl-status',
  load: 'dfl-load',
  retryAfterMs: 'dfl-retry-after-ms',
  traceparent: 'traceparent'
} as const

/** Limits on the requests of callers and on the answers to them: lengths in characters, sizes in bytes, durations in milliseconds. */
export const CallerLimit = {
  nameLength: 64,
  callerLength: 128,
  idempotencyKeyLength: 255,
  pathLength: 2_048,
  minDeadlineMs: 1,
  maxDeadlineMs: 600_000,
  defaultDeadlineMs: 30_000,
  requestBodyBytes: 4 * 1024 * 1024,
  answerBodyBytes: 8 * 1024 * 1024,
  headerBytes: 16 * 1024,
  headerFields: 64
} as const

/** Path prefix of callers' requests at an entry; the rest of the path is forwarded to the endpoint. */
export const CALL_PATH_PREFIX = '/v1/call'

/** Path at which an agent accepts dispatched requests. */
export const DISPATCH_PATH = '/dispatch'

/** Path at which a process accepts JSON-RPC calls from other processes. */
export const RPC_PATH = '/rpc'
