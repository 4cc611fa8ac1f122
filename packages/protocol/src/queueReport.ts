/**
 * Schema of the report on an entry's queue for operators.
 */
import { NotRunReason } from '@dragonflylever/core'
import type { QueueReport } from '@dragonflylever/core'
import * as z from 'zod'

export type { GroupReport, QueueReport, ShedReport } from '@dragonflylever/core'

const groupReportSchema = z.object({
  className: z.string(),
  organisation: z.string(),
  waiting: z.number(),
  running: z.number(),
  waitingCallers: z.number(),
  shareSlots: z.number(),
  guaranteedSlots: z.number(),
  expectedWaitMs: z.number(),
  meanRunMs: z.number(),
  shed: z.number()
})

const shedReportSchema = z.object({
  at: z.number(),
  className: z.string(),
  organisation: z.string(),
  caller: z.string(),
  reason: z.enum(NotRunReason),
  retryAfterMs: z.number()
})

export const queueReportSchema: z.ZodType<QueueReport> = z.object({
  slots: z.number(),
  running: z.number(),
  waiting: z.number(),
  heldBack: z.record(z.string(), z.number()),
  groups: z.array(groupReportSchema),
  recentlyShed: z.array(shedReportSchema)
})
