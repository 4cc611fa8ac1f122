/**
 * Tracing of requests: each process that handles a request records one span for it. If no exporter is configured, no spans are recorded and
 * the caller's trace context is propagated unchanged.
 */

/** The span of a request in one process. */
export interface TraceSpan {
  /** The `traceparent` header for outgoing calls; undefined if there is no trace. */
  readonly traceparent: string | undefined
  /** Sets the attribute `name` of the span. */
  set (name: string, value: string | number): void
  end (): void
}

export interface Tracer {
  /** Starts a span whose parent is the given `traceparent`. */
  start (name: string, traceparent: string | undefined): TraceSpan
  close (): Promise<void>
}

class PropagatedSpan implements TraceSpan {
  readonly traceparent: string | undefined

  constructor (traceparent: string | undefined) {
    this.traceparent = traceparent
  }

  set (): void {}
  end (): void {}
}

/** Records no spans and propagates the trace context unchanged. */
export class PropagatingTracer implements Tracer {
  start (_name: string, traceparent: string | undefined): TraceSpan {
    return new PropagatedSpan(traceparent)
  }

  async close (): Promise<void> {}
}

/** Creates the tracer of a process. Loads OpenTelemetry only if a target is configured. */
export async function createTracer (target: { url: string } | undefined, processId: string): Promise<Tracer> {
  if (target === undefined) return new PropagatingTracer()
  const { createOtlpTracer } = await import('./otelTracer.js')
  return createOtlpTracer(target.url, processId)
}
