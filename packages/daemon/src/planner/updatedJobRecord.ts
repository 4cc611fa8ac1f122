/**
 * Builds the durable record of a job after a transition of its gang's state machine.
 */
import type { GangRecord } from '@dragonflylever/core'

import type { JobRecord } from '../jobs/jobRecord.js'
import type { RegisteredJob } from './jobRegistry.js'

/** Builds the record to store for a job whose gang has changed to the given state; `now` is wall time in milliseconds. */
export function makeUpdatedJobRecord (job: RegisteredJob, gang: GangRecord, now: number): JobRecord {
  const { record } = job
  switch (gang.phase.kind) {
    case 'committed': return { ...record, gang, startedAt: now, attempts: record.attempts + 1, message: '' }
    case 'queued': return { ...record, ...collectProgress(job), gang }
    default: return { ...record, gang, endedAt: now }
  }
}

/**
 * Collects the last checkpoints of the tasks and the run time that they preserve. New checkpoints replace the recorded ones only if every
 * task has one, since a gang resumes as a whole.
 */
function collectProgress (job: RegisteredJob): Pick<JobRecord, 'checkpoints' | 'doneMs' | 'message'> {
  const { record, progress } = job
  const reports = [...progress.values()]
  const failed = reports.find(report => report.status === 'failed')
  const message = failed === undefined ? '' : `task ${failed.id.task} failed on ${failed.workerId}`
  const isFullyCheckpointed = reports.length === record.spec.tasks && reports.every(report => report.checkpoint !== '')
  if (!isFullyCheckpointed) return { checkpoints: record.checkpoints, doneMs: record.doneMs, message }
  const checkpoints = Object.fromEntries(reports.map(report => [String(report.id.task), report.checkpoint]))
  return { checkpoints, doneMs: record.doneMs + Math.min(...reports.map(report => report.ranMs)), message }
}
