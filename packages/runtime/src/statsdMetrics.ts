/**
 * Metrics that the `hot-shots` client sends as StatsD datagrams with tags.
 */
import { StatsD } from 'hot-shots'

import type { Metrics, MetricTags } from './metrics.js'

const FLUSH_MS = 1_000
const BUFFER_BYTES = 1_400

export class StatsdMetrics implements Metrics {
  private readonly _client: StatsD

  constructor (target: { host: string, port: number }, processId: string) {
    this._client = new StatsD({
      host: target.host,
      port: target.port,
      prefix: 'dragonflylever.',
      globalTags: { process: processId },
      maxBufferSize: BUFFER_BYTES,
      bufferFlushInterval: FLUSH_MS,
      errorHandler: () => {}
    })
  }

  count (name: string, value = 1, tags: MetricTags = {}): void {
    this._client.increment(name, value, { ...tags })
  }

  gauge (name: string, value: number, tags: MetricTags = {}): void {
    this._client.gauge(name, value, { ...tags })
  }

  time (name: string, ms: number, tags: MetricTags = {}): void {
    this._client.timing(name, ms, { ...tags })
  }

  async close (): Promise<void> {
    await new Promise<void>(resolve => this._client.close(() => resolve()))
  }
}
