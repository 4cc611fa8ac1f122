/**
 * Tests the tracing and metrics of a request: each hop records a span in the caller's trace, and metrics are sent as UDP datagrams.
 */
import { createSocket } from 'node:dgram'
import type { AddressInfo } from 'node:net'

import type { Endpoint, EndpointOutcome, EndpointRequest } from '@dragonflylever/adapters'
import { createLogger } from '@dragonflylever/runtime'
import { OtelTracer } from '@dragonflylever/runtime/otelTracer'
import { createAgentSettings, createEntrySettings, openSampleStore } from '@dragonflylever/standins'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { request } from 'undici'

import { AgentProcess, EntryProcess } from '../../src/index.js'

type SpanProcessor = ConstructorParameters<typeof OtelTracer>[0]
type EndedSpan = Parameters<SpanProcessor['onEnd']>[0]

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
const PARENT_ID = 'b7ad6b7169203331'

/** Creates a processor that adds each ended span to `spans`. */
function createProcessor (spans: EndedSpan[]): SpanProcessor {
  return { onStart () {}, onEnd: span => { spans.push(span) }, async forceFlush () {}, async shutdown () {} }
}

class RecordingEndpoint implements Endpoint {
  readonly requests: EndpointRequest[] = []

  async send (message: EndpointRequest): Promise<EndpointOutcome> {
    this.requests.push(message)
    return { kind: 'answered', answer: { status: 200, headers: [], body: Buffer.from('{}') } }
  }

  async close (): Promise<void> {}
}

/** Starts an entry and an agent that record their spans in `spans`; the entry sends its metrics to `metricsPort`. */
async function startFleet (t: ExecutionContext, spans: EndedSpan[], metricsPort?: number): Promise<{ url: string, endpoint: RecordingEndpoint }> {
  const store = await openSampleStore()
  const logger = createLogger({ level: 'silent', processId: 'test' })
  const settings = createEntrySettings({ id: 'entry-1', storeUrl: store.url })
  const metrics = metricsPort === undefined ? {} : { metrics: { host: '127.0.0.1', port: metricsPort } }
  const entry = await EntryProcess.start({ ...settings, ...metrics }, { logger, tracer: new OtelTracer(createProcessor(spans), 'entry-1') })
  const endpoint = new RecordingEndpoint()
  const agentSettings = createAgentSettings({ id: 'agent-1', storeUrl: store.url, endpointUrl: 'http://127.0.0.1:9', join: [entry.controlAddress] })
  const agent = await AgentProcess.start(agentSettings, { logger, endpoint, tracer: new OtelTracer(createProcessor(spans), 'agent-1') })
  t.teardown(async () => {
    await Promise.all([entry.stop(), agent.stop()])
    await store.close()
  })
  return { url: `http://${entry.callerAddress}/v1/call/match`, endpoint }
}

async function sendRequest (url: string): Promise<void> {
  const headers = { 'dfl-class': 'care-match', 'dfl-organisation': 'guild', traceparent: `00-${TRACE_ID}-${PARENT_ID}-01` }
  const response = await request(url, { method: 'POST', headers, body: 'x' })
  await response.body.dump()
}

test('entry and agent each record a span in the caller\'s trace with the previous hop as its parent, and the endpoint receives the agent\'s span as its parent', async t => {
  const spans: EndedSpan[] = []
  const { url, endpoint } = await startFleet(t, spans)
  await sendRequest(url)
  const entrySpan = spans.find(span => span.name === 'entry.request')
  const agentSpan = spans.find(span => span.name === 'agent.dispatch')
  t.is(spans.length, 2)
  t.deepEqual([entrySpan?.spanContext().traceId, agentSpan?.spanContext().traceId], [TRACE_ID, TRACE_ID])
  t.is(entrySpan?.parentSpanContext?.spanId, PARENT_ID)
  t.is(agentSpan?.parentSpanContext?.spanId, entrySpan?.spanContext().spanId)
  t.is(entrySpan?.attributes['dfl.outcome'], 'answered')
  const passedOn = endpoint.requests[0]?.headers.find(([name]) => name === 'traceparent')?.[1]
  t.is(passedOn, `00-${TRACE_ID}-${agentSpan?.spanContext().spanId}-01`)
})

test('the metrics of a request reach the receiver named in the settings', async t => {
  const receiver = createSocket('udp4')
  t.teardown(() => receiver.close())
  await new Promise<void>(resolve => receiver.bind(0, '127.0.0.1', resolve))
  const text = new Promise<string>(resolve => {
    let received = ''
    receiver.on('message', datagram => {
      received += `${String(datagram)}\n`
      if (received.includes('dragonflylever.request_ms:')) resolve(received)
    })
  })
  const { url } = await startFleet(t, [], (receiver.address() as AddressInfo).port)
  await sendRequest(url)
  const line = (await text).split('\n').find(one => one.startsWith('dragonflylever.requests:')) ?? ''
  t.regex(line, /^dragonflylever\.requests:1\|c\|#/)
  for (const tag of ['process:entry-1', 'class:care-match', 'organisation:guild', 'outcome:answered']) t.true(line.includes(tag), tag)
})
