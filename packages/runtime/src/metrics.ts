/**
 * Counters, gauges and timings. Sent as StatsD datagrams when the settings name a receiver.
 */

/** Labels of a measurement; few values each. */
export type MetricTags = Readonly<Record<string, string>>

export interface Metrics {
  count (name: string, value?: number, tags?: MetricTags): void
  gauge (name: string, value: number, tags?: MetricTags): void
  /** Records a duration in milliseconds. */
  time (name: string, ms: number, tags?: MetricTags): void
  close (): Promise<void>
}

/** Drops all measurements. */
export class NoMetrics implements Metrics {
  count (): void {}
  gauge (): void {}
  time (): void {}
  async close (): Promise<void> {}
}

/** Creates the metrics of a process; loads the exporter only when it is wanted. */
export async function createMetrics (target: { host: string, port: number } | undefined, processId: string): Promise<Metrics> {
  if (target === undefined) return new NoMetrics()
  const { StatsdMetrics } = await import('./statsdMetrics.js')
  return new StatsdMetrics(target, processId)
}
