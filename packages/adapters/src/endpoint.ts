/**
 * Interface to the endpoint on an agent's host, which executes clients' requests.
 */
import type { Answer, HeaderList } from '@dragonflylever/core'

/** A client's request as the agent sends it to the endpoint. */
export interface EndpointRequest {
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly body: Buffer
}

/**
 * Outcome of a request at the endpoint. `notSent`: the request was certainly not executed. `lost`: it may have been executed.
 * `tooLarge`: the answer exceeds the size limit.
 */
export type EndpointOutcome =
  | { readonly kind: 'answered', readonly answer: Answer }
  | { readonly kind: 'notSent', readonly message: string }
  | { readonly kind: 'lost', readonly message: string }
  | { readonly kind: 'tooLarge', readonly message: string }

export interface Endpoint {
  /** Sends one request; `signal` aborts it. Resolves once the endpoint has answered or stopped working on the request. Never rejects. */
  send (request: EndpointRequest, signal: AbortSignal): Promise<EndpointOutcome>
  close (): Promise<void>
}
