/**
 * Small helpers for HTTP with JSON bodies, for the stand-ins and the clients of the cases.
 */
import { Agent, createServer, request } from 'node:http'

const agent = new Agent({ keepAlive: true, maxSockets: 64 })

/** Opens a server whose handler gets the method, path, query, headers and body of a request, and returns `{ status, body }`, or nothing to leave it unanswered. */
export async function openServer (host, port, handle) {
  const server = createServer(async (message, response) => {
    try {
      const parts = []
      for await (const part of message) parts.push(part)
      const url = new URL(message.url, 'http://server')
      const answer = await handle({ method: message.method, path: url.pathname, query: url.searchParams, headers: message.headers, body: parseJson(Buffer.concat(parts).toString('utf8')) })
      if (answer === undefined) return
      const text = JSON.stringify(answer.body ?? {})
      response.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)) })
      response.end(text)
    } catch {
      response.destroy()
    }
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server
}

/** Makes one call. Resolves with `{ status, body }`; the status is 0 without an answer. */
export function call ({ address, method, path, headers = {}, body, timeoutMs = 4_000 }) {
  const [host, port] = address.split(':')
  const text = body === undefined ? undefined : JSON.stringify(body)
  return new Promise(resolve => {
    const message = request({ agent, host, port: Number(port), method, path, headers: { ...headers, ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)) }) } })
    const timer = setTimeout(() => message.destroy(new Error('no answer in time')), timeoutMs)
    const settle = answer => {
      clearTimeout(timer)
      resolve(answer)
    }
    message.on('error', error => settle({ status: 0, body: {}, error: error.message }))
    message.on('response', response => {
      const parts = []
      response.on('data', part => parts.push(part))
      response.on('error', error => settle({ status: 0, body: {}, error: error.message }))
      response.on('end', () => settle({ status: response.statusCode, body: parseJson(Buffer.concat(parts).toString('utf8')) }))
    })
    message.end(text)
  })
}

function parseJson (text) {
  try {
    return JSON.parse(text)
  } catch {
    return {}
  }
}
