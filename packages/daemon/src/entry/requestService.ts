/**
 * Services that process a validated request until its outcome is known.
 */
import type { Outcome } from '@dragonflylever/core'

import type { CallerRequest } from './callerRequest.js'
import type { Dispatcher } from './dispatcher.js'

/** Serves requests; each gets exactly one outcome. `signal` is aborted when the caller disconnects. */
export interface RequestService {
  serve (request: CallerRequest, signal: AbortSignal): Promise<Outcome>
}

/** Dispatches requests without a check of idempotency keys. A non-idempotent request runs at most once within this entry. */
export class DispatchService implements RequestService {
  private readonly _dispatcher: Dispatcher

  constructor (dispatcher: Dispatcher) {
    this._dispatcher = dispatcher
  }

  serve (request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
    return this._dispatcher.run(request, signal)
  }
}
