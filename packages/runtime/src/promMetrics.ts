/**
 * Metrics served in the Prometheus text format: counters, gauges and histograms of durations.
 */
import { createServer } from 'node:http'
import type { Server } from 'node:http'

import { Counter, Gauge, Histogram, Registry } from 'prom-client'

import { closeServer, openServer } from './httpServer.js'
import type { Metrics, MetricTags } from './metrics.js'

/** Upper bounds of the duration buckets, in milliseconds: from the duration of a call within one host to the longest time that a client waits for an answer. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000]
const PREFIX = 'dragonflylever_'

export class PromMetrics implements Metrics {
  private readonly _registry = new Registry()
  private readonly _counters = new Map<string, Counter>()
  private readonly _gauges = new Map<string, Gauge>()
  private readonly _histograms = new Map<string, Histogram>()
  private readonly _server: Server
  private readonly _path: string
  private _address = ''

  private constructor (path: string) {
    this._path = path
    this._server = createServer((request, response) => {
      if (request.url !== this._path) {
        response.writeHead(404, { 'content-length': '0' })
        response.end()
        return
      }
      void this._registry.metrics().then(text => {
        response.writeHead(200, { 'content-type': this._registry.contentType, 'content-length': String(Buffer.byteLength(text)) })
        response.end(text)
      })
    })
  }

  /** Serves metrics at an address (IP:PORT; port 0 selects a free port) and path. */
  static async open (address: string, path: string): Promise<PromMetrics> {
    const metrics = new PromMetrics(path)
    metrics._address = await openServer(metrics._server, address)
    return metrics
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

  close (): Promise<void> {
    return closeServer(this._server)
  }
}
