/**
 * Recognizes rolling releases: the workers of a service are replaced a few at a time by workers of a newer version. Work that was moved off a draining worker and
 * starts again on one of the old version is likely to be moved again, and loses its work each time. So long work that writes no checkpoints keeps away from
 * workers of the old version while a release is under way.
 */
import type { WorkerState } from './workerState.js'

/** A release counts as under way for this long after a worker of the old version began to drain, in milliseconds; releases replace the next workers after 1 to 2 s. */
const RELEASE_IDLE_MS = 3_000

/** Release of one service during one scheduler pass. */
interface Release {
  /** Version whose first worker started last. */
  readonly newest: string
  /** Shortest time for which a worker of the old version stayed after it began to drain, in milliseconds. */
  readonly noticeMs: number
}

interface VersionState {
  readonly version: string
  /** Wall time at which its first known worker started. */
  readonly firstBorn: number
}

/** The last worker of a service that began to drain. */
interface Drain {
  readonly version: string
  readonly at: number
  readonly noticeMs: number
}

export class ReleaseTracker {
  private readonly _drains = new Map<string, Drain>()
  private _releases = new Map<string, Release>()

  /** Begins a scheduler pass with the workers that are known. */
  beginPass (workers: readonly WorkerState[], now: number): void {
    for (const worker of workers) this._recordDrain(worker)
    this._releases = new Map()
    for (const [service, drain] of this._drains) {
      const newest = now - drain.at > RELEASE_IDLE_MS ? undefined : findNewestVersion(workers, service)
      if (newest !== undefined && newest !== drain.version) this._releases.set(service, { newest, noticeMs: drain.noticeMs })
    }
  }

  /** True while a release of any service is under way. */
  get isReleasing (): boolean {
    return this._releases.size > 0
  }

  /** True while a release is under way that may replace a worker before a run of the given length ends there. */
  isExposed (worker: WorkerState, runMs: number): boolean {
    const release = this._releases.get(worker.report?.service ?? '')
    // A worker that drains stays long enough for a run that is shorter than the notice.
    return release !== undefined && worker.report?.version !== release.newest && runMs > release.noticeMs
  }

  private _recordDrain ({ report, drainingSince, drainsUntil }: WorkerState): void {
    if (report?.version === undefined || drainingSince === undefined || drainsUntil === undefined) return
    const known = this._drains.get(report.service)
    if (known !== undefined && known.at >= drainingSince) return
    this._drains.set(report.service, { version: report.version, at: drainingSince, noticeMs: drainsUntil - drainingSince })
  }
}

/** Returns the version of a service whose first worker started last; undefined if fewer than two versions are known. */
function findNewestVersion (workers: readonly WorkerState[], service: string): string | undefined {
  const versions = new Map<string, VersionState>()
  for (const { report, key } of workers) {
    if (report?.service !== service || report.version === undefined) continue
    const known = versions.get(report.version)
    if (known === undefined || key.born < known.firstBorn) versions.set(report.version, { version: report.version, firstBorn: key.born })
  }
  return versions.size < 2 ? undefined : [...versions.values()].sort((a, b) => b.firstBorn - a.firstBorn)[0]?.version
}
