/**
 * Declarations with one open queue, and submissions of one job to it.
 */
import type { FleetPolicy } from '@dragonflylever/core/graphs/index'
import type { JobDraft, JobEntryCall } from '@dragonflylever/daemon/jobEntry/jobEntryHandler'

export const JOB_ID = '00000000000000a1'
export const POLICY: FleetPolicy = {
  version: 1,
  queues: [{ name: 'q', service: 's', priority: 1, maxAttempts: 2, stretch: 3, targetLatencyMs: 500, host: 'h', prefix: '/q/', isOpen: true }],
  organisations: ['a', 'b'].map(name => ({ name, keys: [`key-${name}`], guaranteedAccelerators: 0 })),
  limits: { maxBodyBytes: 1, maxHeaderBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
}
const DEADLINE_MS = 3_000

/** Creates a submission of the job `JOB_ID` that starts now. */
export function makeSubmission (): { readonly call: JobEntryCall, readonly draft: JobDraft } {
  return { call: { host: 'h', path: `/q/${JOB_ID}`, key: undefined, deadlineAt: performance.now() + DEADLINE_MS }, draft: { payload: '', steps: [], repeat: undefined } }
}
