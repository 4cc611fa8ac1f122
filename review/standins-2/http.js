/**
 * Helpers of the stand-ins: JSON over HTTP/1.1 with Node's own modules.
 */
import { createServer, request as openRequest } from 'node:http'
import { createServer as createTcpServer } from 'node:net'

/** Opens a server that passes each call with its parsed body to `handle`, which returns `{ status, body }`, or undefined to give no answer. */
export async function openJsonServer (address, handle) {
  const [host, port] = address.split(':')
  const sockets = new Set()
  const server = createServer(async (request, response) => {
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    const url = new URL(request.url, 'http://stand-in')
    const text = Buffer.concat(chunks).toString('utf8')
    const answer = await handle({ method: request.method, path: url.pathname, query: url.searchParams, headers: request.headers, body: text === '' ? {} : JSON.parse(text) })
    if (answer === undefined || response.destroyed) return
    const body = JSON.stringify(answer.body ?? {})
    response.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) })
    response.end(body)
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => {})
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, resolve)
  })
  return {
    /** Stops listening and resets all connections, as the end of a process does. */
    close () {
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
    }
  }
}

/** Makes one call on a connection of its own. Resolves with `{ status, body, headers }`; status 0 means that there was no answer. */
export function callJson ({ address, method, path, headers = {}, body, timeoutMs = 4_000 }) {
  const [host, port] = address.split(':')
  const text = body === undefined ? undefined : JSON.stringify(body)
  return new Promise(resolve => {
    const request = openRequest({ host, port: Number(port), method, path, agent: false, headers: { ...headers, ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)) }) } }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('end', () => {
        clearTimeout(timer)
        const answer = Buffer.concat(chunks).toString('utf8')
        resolve({ status: response.statusCode, headers: response.headers, body: answer === '' ? {} : JSON.parse(answer) })
      })
      response.on('error', () => resolve({ status: 0, body: {} }))
    })
    const timer = setTimeout(() => request.destroy(new Error('no answer in time')), timeoutMs)
    request.on('error', () => {
      clearTimeout(timer)
      resolve({ status: 0, body: {} })
    })
    request.end(text)
  })
}

/** Resolves with true if nothing listens at an address. */
export function canListen (host, port) {
  return new Promise(resolve => {
    const server = createTcpServer()
    server.once('error', () => resolve(false))
    server.listen({ host, port }, () => server.close(() => resolve(true)))
  })
}
