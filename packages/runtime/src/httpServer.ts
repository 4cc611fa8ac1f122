/**
 * Opens HTTP servers and closes them gracefully.
 */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

const DRAIN_POLL_MS = 50
/** Time that requests in progress have until their connections are closed, in milliseconds: calls take up to 3 s, and a process has 6 s to stop. A body that never ends would hold the process up, since Node checks no timeouts on a server that is closing. */
const MAX_DRAIN_MS = 3_000

/** Splits `IP:PORT`; the brackets of an IPv6 address are removed. */
export function parseAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

/** Starts listening and returns the bound address as IP:PORT. Rejects if the server can't listen at the address. */
export async function openServer (server: Server, address: string): Promise<string> {
  const { host, port } = parseAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
  const bound = server.address() as AddressInfo
  return `${host.includes(':') ? `[${host}]` : host}:${bound.port}`
}

/** Stops listening, waits a limited time for the requests in progress and closes idle connections. */
export async function closeServer (server: Server): Promise<void> {
  const idleTimer = setInterval(() => server.closeIdleConnections(), DRAIN_POLL_MS)
  const endTimer = setTimeout(() => server.closeAllConnections(), MAX_DRAIN_MS)
  await new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeIdleConnections()
  })
  clearInterval(idleTimer)
  clearTimeout(endTimer)
}
