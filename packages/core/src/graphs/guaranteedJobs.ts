/**
 * Finds the jobs of priority 0 that the guarantees of their organisations cover; the oldest jobs are covered first.
 */
import type { JobState } from './jobState.js'
import type { PlannerPolicy } from './plannerPolicy.js'

/** Finds the covered jobs among `jobs`, which have not ended; `getPriority` returns the current priority of a job's queue. */
export function findGuaranteedJobs (jobs: readonly JobState[], policy: PlannerPolicy, getPriority: (job: JobState) => number): Set<JobState> {
  const byOrganisation = new Map<string, JobState[]>()
  for (const job of jobs) {
    if (getPriority(job) !== 0) continue
    byOrganisation.set(job.graph.organisation, [...byOrganisation.get(job.graph.organisation) ?? [], job])
  }
  const guaranteed = new Set<JobState>()
  for (const { organisation, accelerators } of policy.guarantees) {
    const candidates = (byOrganisation.get(organisation) ?? []).sort((a, b) => a.graph.acceptedAt - b.graph.acceptedAt)
    let used = 0
    for (const job of candidates) {
      used += countAccelerators(job)
      if (used <= accelerators) guaranteed.add(job)
    }
  }
  return guaranteed
}

function countAccelerators (job: JobState): number {
  return job.graph.steps.reduce((sum, step) => sum + step.count * step.accelerators, 0)
}
