/**
 * Records of what planners learn, for tests.
 */
import type { LearnedRecord, QueueRunTimesRecord } from '@dragonflylever/core/graphs/index'
import { LogHistogram } from '@dragonflylever/core/graphs/logHistogram'
import { SeededRandom } from '@dragonflylever/core/random'

/** Makes a record of workers and queues with values as they are measured. */
export function makeLearned (workers: number, queues: number): LearnedRecord {
  const random = new SeededRandom(1)
  const sampleFactor = (): number => (random.sample() + random.sample() + random.sample() - 1.5) * 0.9
  const makeTimes = (): QueueRunTimesRecord['times'] => {
    const histogram = new LogHistogram()
    for (let count = 0; count < 300; count++) histogram.add(5_000 * Math.exp(sampleFactor()) * (count % 33 === 0 ? 7 : 1), 1)
    return histogram.encode()
  }
  return {
    speeds: {
      hasDifferences: true,
      newDeviation: 0.38,
      workers: Array.from({ length: workers }, (_, index) => ({ id: `worker-zone-${index % 7}-${index}`, born: 1_700_000_000_000 + index * 1_234, logFactor: [-0.46, 0, 0.47][index % 3] ?? 0, isConfirmed: index % 9 > 0 }))
    },
    queues: Array.from({ length: queues }, (_, index) => [`team-${index}-reconciliation`, { ratios: makeTimes(), times: makeTimes(), shapes: [] }] as const)
  }
}
