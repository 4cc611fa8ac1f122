/**
 * Format of the admission forecast in the store. A record of another version is ignored, so that all jobs are accepted.
 */
import type { AdmissionForecast } from '@dragonflylever/core/graphs/index'
import { parseJson } from '@dragonflylever/protocol'
import * as z from 'zod'

const VERSION = 1

const time = z.number().min(0)
const amount = z.number().min(0)
const recordSchema = z.object({
  version: z.literal(VERSION),
  /** Store revision of the planner's election; grows with each planner. */
  epoch: z.number(),
  shapes: z.array(z.object({
    queue: z.string(),
    tasks: amount,
    cpuMillis: amount,
    memoryMb: amount,
    accelerators: amount,
    chainMs: time,
    coreSeconds: amount,
    runTimeScale: z.number().min(1),
    optimisticMs: time,
    expectedMs: time
  })),
  organisations: z.record(z.string(), z.array(z.string()))
})

/** A decoded record: the forecast, and the epoch of the planner that wrote it. */
export interface AdmissionRecord {
  readonly epoch: number
  readonly forecast: AdmissionForecast
}

/** Encodes a record. Times are whole milliseconds; one that is unknown is left at the largest safe number. */
export function encodeAdmissionRecord ({ epoch, forecast }: AdmissionRecord): string {
  const shapes = forecast.shapes.map(shape => ({ ...shape, optimisticMs: roundTime(shape.optimisticMs), expectedMs: roundTime(shape.expectedMs) }))
  return JSON.stringify({ version: VERSION, epoch, shapes, organisations: forecast.organisations })
}

/** Decodes a record; returns undefined if the text is not a valid record of this version. */
export function decodeAdmissionRecord (text: string): AdmissionRecord | undefined {
  const checked = recordSchema.safeParse(parseJson(text))
  if (!checked.success) return undefined
  const { epoch, shapes, organisations } = checked.data
  return { epoch, forecast: { shapes, organisations } }
}

function roundTime (ms: number): number {
  return Math.min(Number.MAX_SAFE_INTEGER, Math.round(ms))
}
