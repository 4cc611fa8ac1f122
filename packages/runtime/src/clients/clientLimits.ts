/**
 * Limits on what a process holds for the clients of its ports. No client within the rules reaches a default; `docs/settings.md` names the origin of each.
 */

const KIB = 1024
const MIB = 1024 * KIB

export interface ClientLimits {
  /** Maximum number of bytes held for clients: heads, bodies, requests in progress and answers that have not been read. All ports of a process share it. */
  readonly maxHeldBytes: number
  /** Maximum number of connections of clients. All ports of a process share it. */
  readonly maxConnections: number
  /** Maximum number of requests of one connection that are read and not answered yet; a client that sends more ahead loses its connection. */
  readonly maxRequestsInFlight: number
  /** Maximum size of the head of a request, in bytes. */
  readonly maxHeaderBytes: number
  /** Maximum number of header fields; Node ignores those beyond it. */
  readonly maxHeaders: number
  /** Maximum number of parts (chunks, or pieces of the network) in which a body may arrive. */
  readonly maxBodyParts: number
  /** Time within which the head of a request must be complete, in milliseconds. */
  readonly headTimeoutMs: number
  /** Time within which a request with its body must be complete, in milliseconds. */
  readonly requestTimeoutMs: number
  /** Time after which a connection without any transfer is closed, in milliseconds. */
  readonly idleTimeoutMs: number
}

export const DEFAULT_CLIENT_LIMITS: ClientLimits = {
  maxHeldBytes: 48 * MIB,
  maxConnections: 1_536,
  maxRequestsInFlight: 32,
  maxHeaderBytes: 20 * KIB,
  maxHeaders: 1_000,
  maxBodyParts: 16_384,
  headTimeoutMs: 6_000,
  requestTimeoutMs: 20_000,
  idleTimeoutMs: 30_000
}
