/**
 * A span for each hop. Without an exporter the caller's trace context is passed on as it came.
 */

/** One hop of a request. */
export interface Hop {
  /** The `traceparent` header for the next hop; undefined when there is no trace. */
  readonly traceparent: string | undefined
  /** Adds an attribute. */
  set (name: string, value: string | number): void
  end (): void
}

export interface Tracer {
  /** Starts a hop below the given `traceparent`. */
  start (name: string, traceparent: string | undefined): Hop
  close (): Promise<void>
}

class PassedHop implements Hop {
  readonly traceparent: string | undefined

  constructor (traceparent: string | undefined) {
    this.traceparent = traceparent
  }

  set (): void {}
  end (): void {}
}

/** Records nothing and passes the context on. */
export class PassingTracer implements Tracer {
  start (_name: string, traceparent: string | undefined): Hop {
    return new PassedHop(traceparent)
  }

  async close (): Promise<void> {}
}

/** Creates the tracer of a process; loads OpenTelemetry only when it is wanted. */
export async function createTracer (target: { url: string } | undefined, processId: string): Promise<Tracer> {
  if (target === undefined) return new PassingTracer()
  const { createOtlpTracer } = await import('./otelTracer.js')
  return createOtlpTracer(target.url, processId)
}
