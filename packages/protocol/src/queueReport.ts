/**
 * Read-out of an entry's queue as operators get it.
 */
export type { GroupReport, QueueReport, ShedReport } from '@dragonflylever/core'
