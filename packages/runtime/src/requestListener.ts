/**
 * Connects an asynchronous request handler to an HTTP server.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

import type { Logger } from './logger.js'

/** Handles one HTTP request and ends the response. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/**
 * Creates a listener for the requests of an HTTP server. If the handler fails unexpectedly, the error is logged and the connection is closed without an answer, which leaves the
 * outcome open to the client; the other requests are served as before. An unhandled rejection would end the process.
 */
export function createRequestListener (handle: RequestHandler, logger: Logger): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    handle(request, response).catch((error: unknown) => {
      const { message, stack } = error instanceof Error ? error : new Error(String(error))
      logger.error({ method: request.method, path: request.url, message, stack }, 'failed to handle a request because of an unexpected error; closing its connection')
      response.destroy()
    })
  }
}
