/**
 * The endpoint beside an agent: runs requests for callers.
 */
import type { Answer, HeaderList } from '@dragonflylever/core'

/** A request as it goes to the endpoint. */
export interface EndpointRequest {
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly body: Buffer
}

/** How a request ended at the endpoint. `notSent` is proof that it did not run. */
export type EndpointOutcome =
  | { readonly kind: 'answered', readonly answer: Answer }
  | { readonly kind: 'notSent', readonly message: string }
  | { readonly kind: 'lost', readonly message: string }
  | { readonly kind: 'tooLarge', readonly message: string }

export interface Endpoint {
  /** Sends one request; `signal` aborts it. Resolves once the endpoint has answered or let go of the request. Never rejects. */
  send (request: EndpointRequest, signal: AbortSignal): Promise<EndpointOutcome>
  close (): Promise<void>
}
