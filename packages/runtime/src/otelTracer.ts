/**
 * Tracer that records OpenTelemetry spans and exports them as OTLP over HTTP.
 */
import { ROOT_CONTEXT, defaultTextMapGetter, defaultTextMapSetter, trace } from '@opentelemetry/api'
import type { Span, Tracer as OtelApiTracer } from '@opentelemetry/api'
import { W3CTraceContextPropagator } from '@opentelemetry/core'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base'
import type { SpanProcessor } from '@opentelemetry/sdk-trace-base'

import type { TraceSpan, Tracer } from './tracing.js'

const OTLP_TRACES_PATH = '/v1/traces'
const propagator = new W3CTraceContextPropagator()

class OtelSpan implements TraceSpan {
  readonly traceparent: string | undefined
  private readonly _span: Span

  constructor (span: Span, traceparent: string | undefined) {
    this._span = span
    this.traceparent = traceparent
  }

  set (name: string, value: string | number): void {
    this._span.setAttribute(name, value)
  }

  end (): void {
    this._span.end()
  }
}

export class OtelTracer implements Tracer {
  private readonly _provider: BasicTracerProvider
  private readonly _tracer: OtelApiTracer

  constructor (processor: SpanProcessor, processId: string) {
    const resource = resourceFromAttributes({ 'service.name': 'dragonflylever', 'service.instance.id': processId })
    this._provider = new BasicTracerProvider({ resource, spanProcessors: [processor] })
    this._tracer = this._provider.getTracer('dragonflylever')
  }

  start (name: string, traceparent: string | undefined): TraceSpan {
    const carrier = traceparent === undefined ? {} : { traceparent }
    const parent = propagator.extract(ROOT_CONTEXT, carrier, defaultTextMapGetter)
    const span = this._tracer.startSpan(name, {}, parent)
    const outgoing: Record<string, string> = {}
    propagator.inject(trace.setSpan(ROOT_CONTEXT, span), outgoing, defaultTextMapSetter)
    return new OtelSpan(span, outgoing.traceparent)
  }

  async close (): Promise<void> {
    await this._provider.shutdown()
  }
}

/** Creates a tracer that exports spans in batches to the OTLP receiver at a base URL. */
export function createOtlpTracer (url: string, processId: string): Tracer {
  const exporter = new OTLPTraceExporter({ url: `${url}${OTLP_TRACES_PATH}` })
  return new OtelTracer(new BatchSpanProcessor(exporter), processId)
}
