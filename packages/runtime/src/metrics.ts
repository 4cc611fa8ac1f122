/**
 * Interface of counters, gauges and timings, which are sent as StatsD datagrams if the settings name a receiver.
 */

/** Labels of a measurement. Each label must have few distinct values. */
export type MetricTags = Readonly<Record<string, string>>

export interface Metrics {
  count (name: string, value?: number, tags?: MetricTags): void
  gauge (name: string, value: number, tags?: MetricTags): void
  /** Records a duration in milliseconds. */
  time (name: string, ms: number, tags?: MetricTags): void
  close (): Promise<void>
}

/** Discards all measurements. */
export class NoMetrics implements Metrics {
  count (): void {}
  gauge (): void {}
  time (): void {}
  async close (): Promise<void> {}
}

/** Creates the metrics of a process. Loads the StatsD exporter only if a target is configured. */
export async function createMetrics (target: { host: string, port: number } | undefined, processId: string): Promise<Metrics> {
  if (target === undefined) return new NoMetrics()
  const { StatsdMetrics } = await import('./statsdMetrics.js')
  return new StatsdMetrics(target, processId)
}
