/**
 * Helpers shared by the HTTP stand-ins.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

const LOOPBACK = '127.0.0.1'

/** Listens on a loopback port and returns the server's URL; 0 picks a free port. */
export async function listen (server: Server, port: number): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, LOOPBACK, resolve)
  })
  return `http://${LOOPBACK}:${(server.address() as AddressInfo).port}`
}

/** Reads a request body to its end; rejects when the sender aborts. */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

/** Reads a JSON body; returns an empty object when the body is empty. */
export async function readJson (request: IncomingMessage): Promise<unknown> {
  const text = (await readBody(request)).toString('utf8')
  return text === '' ? {} : JSON.parse(text)
}

/** Ends a response with a status and a value as JSON. */
export function sendJson (response: ServerResponse, status: number, value: unknown): void {
  const body = Buffer.from(JSON.stringify(value))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length })
  response.end(body)
}
