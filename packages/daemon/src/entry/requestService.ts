/**
 * Serves one checked request to its outcome.
 */
import type { Outcome } from '@dragonflylever/core'

import type { CallerRequest } from './callerRequest.js'
import type { Dispatcher } from './dispatcher.js'

/** Serves a request; exactly one outcome. */
export interface RequestService {
  serve (request: CallerRequest, signal: AbortSignal): Promise<Outcome>
}

/** Serves by dispatch alone: at most one run within this entry, no memory of idempotency keys. */
export class DispatchService implements RequestService {
  private readonly _dispatcher: Dispatcher

  constructor (dispatcher: Dispatcher) {
    this._dispatcher = dispatcher
  }

  serve (request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
    return this._dispatcher.run(request, signal)
  }
}
