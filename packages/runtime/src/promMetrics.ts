/**
 * Metrics served in the Prometheus text format: counters, gauges and histograms of durations.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { Counter, Gauge, Histogram, Registry } from 'prom-client'

import { ClientGuard } from './clients/clientGuard.js'
import type { ClientLimits } from './clients/clientLimits.js'
import { closeServer, openServer } from './httpServer.js'
import { createLogger } from './logger.js'
import type { Logger } from './logger.js'
import type { Metrics, MetricTags } from './metrics.js'

/** Upper bounds of the duration buckets, in milliseconds: from the duration of a call within one host to the longest time that a client waits for an answer. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000]
const PREFIX = 'dragonflylever_'

/** Options of {@link PromMetrics}. */
export interface PromMetricsOptions {
  /** Limits on the clients of the process that differ from the defaults. */
  readonly limits?: Partial<ClientLimits> | undefined
  readonly logger?: Logger
}

export class PromMetrics implements Metrics {
  private readonly _registry = new Registry()
  private readonly _counters = new Map<string, Counter>()
  private readonly _gauges = new Map<string, Gauge>()
  private readonly _histograms = new Map<string, Histogram>()
  private readonly _guard: ClientGuard
  private readonly _server: Server
  private readonly _path: string
  private _address = ''

  private constructor (path: string, options: PromMetricsOptions) {
    this._path = path
    const logger = options.logger ?? createLogger({ level: 'silent', processId: '' })
    this._guard = new ClientGuard({ limits: options.limits, metrics: this, logger })
    this._server = this._guard.createServer({ port: 'metrics', logger, handle: (request, response) => this._serve(request, response) })
  }

  /** Serves metrics at an address (IP:PORT; port 0 selects a free port) and path. */
  static async open (address: string, path: string, options: PromMetricsOptions = {}): Promise<PromMetrics> {
    const metrics = new PromMetrics(path, options)
    metrics._address = await openServer(metrics._server, address)
    return metrics
  }

  /** Guard of the process's servers, which counts in these metrics. */
  get guard (): ClientGuard {
    return this._guard
  }

  /** Bound address as IP:PORT. */
  get address (): string {
    return this._address
  }

  count (name: string, value = 1, tags: MetricTags = {}): void {
    const counter = this._counters.get(name) ?? new Counter({ name: `${PREFIX}${name}_total`, help: name, labelNames: Object.keys(tags), registers: [this._registry] })
    this._counters.set(name, counter)
    counter.inc(tags, value)
  }

  gauge (name: string, value: number, tags: MetricTags = {}): void {
    const gauge = this._gauges.get(name) ?? new Gauge({ name: `${PREFIX}${name}`, help: name, labelNames: Object.keys(tags), registers: [this._registry] })
    this._gauges.set(name, gauge)
    gauge.set(tags, value)
  }

  time (name: string, ms: number, tags: MetricTags = {}): void {
    const histogram = this._histograms.get(name) ?? new Histogram({ name: `${PREFIX}${name}`, help: `${name}, milliseconds`, labelNames: Object.keys(tags), buckets: BUCKETS_MS, registers: [this._registry] })
    this._histograms.set(name, histogram)
    histogram.observe(tags, ms)
  }

  async close (): Promise<void> {
    await closeServer(this._server)
    this._guard.close()
  }

  private async _serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url !== this._path) {
      response.writeHead(404, { 'content-length': '0' })
      response.end()
      return
    }
    const text = await this._registry.metrics()
    response.writeHead(200, { 'content-type': this._registry.contentType, 'content-length': String(Buffer.byteLength(text)) })
    response.end(text)
  }
}
