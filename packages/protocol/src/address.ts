/**
 * Checks of addresses in settings and in messages.
 */
import { isIP } from 'node:net'

const MAX_PORT = 65_535

/** True if a connection can be opened to a port of this number. */
export function isPort (port: number): boolean {
  return Number.isInteger(port) && port > 0 && port <= MAX_PORT
}

/** Returns whether a text has the form `IP:PORT`, with an IPv6 address in brackets and a port of at least `minPort`. */
export function isAddress (text: string, minPort = 1): boolean {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text)
  if (match === null) return false
  const port = Number(match[3])
  const family = isIP(match[1] ?? match[2] ?? '')
  return family === (match[1] === undefined ? 4 : 6) && port >= minPort && port <= MAX_PORT
}
