/**
 * Encodes and decodes the stored record of what planners have learned of workers and queues. The record is compact: tuples, and whole numbers.
 */
import type { HistogramRecord, LearnedRecord } from '@dragonflylever/core/graphs/index'
import { parseJson } from '@dragonflylever/protocol'
import * as z from 'zod'

/** Version of the record's format. A build leaves records of later versions alone. */
const VERSION = 1
/** Maximum size of a record in bytes. Queues that were not observed for the longest time are left out first. */
const MAX_BYTES = 64 * 1024
/** Logarithms are stored in units of this: factors are known to a percent at best. */
const LOG_UNIT = 0.01

const MAX_WORKERS = 2_000
const MAX_QUEUES = 1_024
const MAX_SHAPES = 8
/** Bins of histograms, in tenths of a logarithm: run times from below a millisecond to centuries. */
const MAX_BIN = 500
/** Digits of the levels of a histogram, one for each bin. */
const DIGITS = '0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ'
const count = z.number().int().min(0)
const histogram = z.tuple([z.number().int().min(-MAX_BIN).max(MAX_BIN), z.string().max(MAX_BIN).regex(/^[0-9a-zA-Z]*$/)])
/** Id of a worker, start time of its incarnation, logarithm of its factor, and 1 if that is confirmed. */
const worker = z.tuple([z.string(), z.number().int(), z.number().int().min(-500).max(500), z.literal([0, 1])])
/** Name of a queue, ratios of real to declared run times, run times, and run times by shape. */
const queue = z.tuple([z.string(), histogram, histogram, z.array(z.tuple([z.number(), histogram])).max(MAX_SHAPES)])
const recordSchema = z.object({
  version: z.literal(VERSION),
  /** 1 while the speeds of workers differ. */
  differ: z.literal([0, 1]),
  /** Standard deviation that is expected of the logarithm of a new worker's factor. */
  deviation: count,
  workers: z.array(worker).max(MAX_WORKERS),
  queues: z.array(queue).max(MAX_QUEUES)
})

/** Result of decoding: `newer` if a later build wrote the record in a format of its own. */
export type DecodedLearned =
  | { readonly kind: 'ok', readonly record: LearnedRecord }
  | { readonly kind: 'newer' }
  | { readonly kind: 'unreadable' }

export function encodeLearned ({ speeds, queues }: LearnedRecord): string {
  const record = { version: VERSION, differ: speeds.hasDifferences ? 1 : 0, deviation: Math.round(speeds.newDeviation / LOG_UNIT), workers: [], queues: [] }
  const workers = speeds.workers.map(({ id, born, logFactor, isConfirmed }) => [id, born, Math.round(logFactor / LOG_UNIT), isConfirmed ? 1 : 0])
  const keptWorkers = takeFitting(workers, MAX_BYTES - JSON.stringify(record).length)
  const withWorkers = { ...record, workers: keptWorkers }
  const keptQueues = takeFitting(queues.map(([name, { ratios, times, shapes }]) => [name, encodeHistogram(ratios), encodeHistogram(times), shapes.map(([shape, one]) => [shape, encodeHistogram(one)])]), MAX_BYTES - Buffer.byteLength(JSON.stringify(withWorkers)))
  return JSON.stringify({ ...withWorkers, queues: keptQueues })
}

/** Returns the first items whose encoded size, with commas, is at most `maxBytes`. */
function takeFitting <T> (items: readonly T[], maxBytes: number): T[] {
  let bytes = 0
  return items.filter(item => {
    bytes += Buffer.byteLength(JSON.stringify(item)) + 1
    return bytes <= maxBytes
  })
}

export function decodeLearned (text: string): DecodedLearned {
  const json = parseJson(text)
  const checked = recordSchema.safeParse(json)
  if (!checked.success) return isNewer(json) ? { kind: 'newer' } : { kind: 'unreadable' }
  const { differ, deviation, workers, queues } = checked.data
  return {
    kind: 'ok',
    record: {
      speeds: {
        hasDifferences: differ === 1,
        newDeviation: deviation * LOG_UNIT,
        workers: workers.map(([id, born, value, isConfirmed]) => ({ id, born, logFactor: value * LOG_UNIT, isConfirmed: isConfirmed === 1 }))
      },
      queues: queues.map(([name, ratios, times, shapes]) => [name, {
        ratios: decodeHistogram(ratios),
        times: decodeHistogram(times),
        shapes: shapes.map(([shape, one]) => [shape, decodeHistogram(one)] as const)
      }] as const)
    }
  }
}

function encodeHistogram ({ first, levels }: HistogramRecord): [number, string] {
  return [first, levels.map(level => DIGITS[level] ?? '0').join('')]
}

function decodeHistogram ([first, digits]: [number, string]): HistogramRecord {
  return { first, levels: [...digits].map(digit => DIGITS.indexOf(digit)) }
}

function isNewer (json: unknown): boolean {
  const checked = z.object({ version: z.number().int() }).safeParse(json)
  return checked.success && checked.data.version > VERSION
}
