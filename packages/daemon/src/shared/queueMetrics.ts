/**
 * Reports the state of a request queue as gauges, by class and organisation, at a fixed interval.
 */
import type { QueueReport } from '@dragonflylever/core'
import type { Metrics } from '@dragonflylever/runtime'

const REPORT_INTERVAL_MS = 10_000

/** Dependencies of {@link QueueMetrics}. */
export interface QueueMetricsDependencies {
  readonly metrics: Metrics
  readonly describe: () => QueueReport
}

export class QueueMetrics {
  private readonly _dependencies: QueueMetricsDependencies
  private readonly _timer: NodeJS.Timeout

  constructor (dependencies: QueueMetricsDependencies) {
    this._dependencies = dependencies
    this._timer = setInterval(() => this._reportGauges(), REPORT_INTERVAL_MS)
  }

  close (): void {
    clearInterval(this._timer)
  }

  private _reportGauges (): void {
    const { metrics, describe } = this._dependencies
    for (const group of describe().groups) {
      const tags = { class: group.className, organisation: group.organisation }
      metrics.gauge('queue_waiting', group.waiting, tags)
      metrics.gauge('queue_running', group.running, tags)
      metrics.gauge('queue_share_slots', group.shareSlots, tags)
      metrics.gauge('queue_expected_wait_ms', group.expectedWaitMs, tags)
      metrics.gauge('queue_shed', group.shed, tags)
    }
  }
}
