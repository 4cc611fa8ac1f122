/**
 * A progress writer on a fake clock whose changed jobs the test sets.
 */
import { JobPhase } from '@dragonflylever/core/graphs/index'
import type { ChangedJob } from '@dragonflylever/core/graphs/index'
import { ProgressWriter } from '@dragonflylever/daemon/jobPlanner/progressWriter'
import { NoMetrics, createLogger } from '@dragonflylever/runtime'
import type { MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import type { ExecutionContext } from 'ava'

import { KEYS } from '../graphs/graphNode.js'

const LEADER_KEY = 'leader'

export interface WriterFixture {
  readonly clock: FakeTimers.Clock
  readonly writer: ProgressWriter
  /** Records that are still to be stored, by job id; those of stored jobs are removed. */
  readonly changed: Map<string, string>
  /** Records that were reported as stored. */
  readonly durable: string[]
  /** Why the writer gave up leadership, in turn. */
  readonly fences: string[]
}

/** Creates a writer that leads in a store. */
export function createWriterFixture (t: ExecutionContext, store: MemoryStore): WriterFixture {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] })
  const put = store.engine.put({ key: LEADER_KEY, value: '', expect: { kind: 'absent' } })
  const changed = new Map<string, string>()
  const durable: string[] = []
  const fences: string[] = []
  const writer = new ProgressWriter({
    store,
    keys: KEYS,
    leaderKey: LEADER_KEY,
    epoch: put.kind === 'ok' ? put.modRevision : 0,
    logger: createLogger({ level: 'silent', processId: 't' }),
    metrics: new NoMetrics(),
    listChangedJobs: () => [...changed.keys()].map(jobId => makeChangedJob(jobId, [''])),
    encodePart: jobId => changed.get(jobId),
    makeState: () => undefined,
    onDurable: entries => {
      durable.push(...entries.flatMap(({ records }) => [...records.values()]))
      for (const { job } of entries) changed.delete(job.jobId)
    },
    onLeadershipConfirmed: () => {},
    onFenced: reason => { fences.push(reason) }
  })
  t.teardown(() => {
    writer.close()
    clock.uninstall()
  })
  return { clock, writer, changed, durable, fences }
}

/** Makes a job with changes in the given parts of its progress. */
export function makeChangedJob (jobId: string, parts: readonly string[]): ChangedJob {
  return { jobId, version: 1, phase: JobPhase.running, queue: 'q', organisation: 'o', parts, droppedParts: [] }
}
