/**
 * Opening and draining of HTTP servers.
 */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

const DRAIN_POLL_MS = 50

/** Splits `IP:PORT`. */
export function parseAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

/** Starts listening; returns the address in use as IP:PORT. Rejects when the address can't be had. */
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

/** Stops listening, lets requests under way finish, closes idle connections. */
export async function closeServer (server: Server): Promise<void> {
  const sweep = setInterval(() => server.closeIdleConnections(), DRAIN_POLL_MS)
  await new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeIdleConnections()
  })
  clearInterval(sweep)
}
