/**
 * Announcements of workers for tests of an agent.
 */
import type { WorkerAnnouncement } from '@dragonflylever/daemon/jobAgent/workerController'

/** Makes the announcement of a worker with the given values and simple defaults for the others. */
export function makeAnnouncement (given: Partial<WorkerAnnouncement> = {}): WorkerAnnouncement {
  return {
    id: 'w',
    born: 1,
    address: '10.0.0.1:1',
    service: 's',
    rack: 'r',
    labels: [],
    failureDomain: 'd',
    capacity: { cpuMillis: 1, memoryMb: 1, accelerators: 1 },
    isDraining: false,
    drainLeftMs: undefined,
    clockMs: 0,
    sequence: 1,
    ...given
  }
}
