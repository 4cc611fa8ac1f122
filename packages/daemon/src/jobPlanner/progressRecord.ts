/**
 * Decodes the stored progress records of jobs. A record is taken whole or not at all: a run that is left out would be started a second time.
 */
import { JobPhase, countOccurrences, isFinalPhase, joinRecords } from '@dragonflylever/core/graphs/index'
import type { HeadRecord, JobGraph, PartRecord, ProgressRecord, StepRecord, StepSlice } from '@dragonflylever/core/graphs/index'
import { parseJson } from '@dragonflylever/protocol'
import * as z from 'zod'

const count = z.number().int().min(0)
// Checked by hand: a planner reads thousands of tasks before its first pass, and a schema for each takes thirty times as long as parsing them.
const tasksSchema = z.custom<StepRecord['tasks']>(value => Array.isArray(value) && value.every(isTaskRecord))
const stepSchema = z.object({ failures: count, failedRun: count, tasks: tasksSchema })
const occurrencesSchema = z.object({ next: count, held: z.array(count) })
const stepKey = z.string().regex(/^\d{1,9}\.\d{1,9}$/)
const jobFields = { phase: z.enum(JobPhase), endedAt: z.number().optional() }
const progressSchema = z.object({ ...jobFields, occurrences: occurrencesSchema.optional(), steps: z.record(stepKey, stepSchema) }).refine(hasPossibleEnd)
const headSchema = z.object({ ...jobFields, occurrences: occurrencesSchema, partTasks: count }).refine(hasPossibleEnd)
const partSchema = z.object({ steps: z.record(stepKey, stepSchema.extend({ from: count })) })

/**
 * Decodes the progress of a job from the record of its head and those of its other parts; returns undefined if one of them is not a valid record of this job. Parts of occurrences that the job
 * does not hold any more are left out.
 */
export function decodeProgress (graph: JobGraph, text: string, partTexts: readonly string[] = []): ProgressRecord | undefined {
  const json = parseJson(text)
  const head = headSchema.safeParse(json)
  if (head.success) return decodeParts(graph, head.data as HeadRecord, partTexts)
  const checked = progressSchema.safeParse(json)
  if (!checked.success || partTexts.length > 0) return undefined
  const record = checked.data as ProgressRecord
  const isWhole = hasPossibleOccurrences(graph, record) && Object.entries(record.steps).every(([key, step]) => isStepOf(graph, key, step))
  return isWhole ? record : undefined
}

function decodeParts (graph: JobGraph, head: HeadRecord, partTexts: readonly string[]): ProgressRecord | undefined {
  if (!hasPossibleOccurrences(graph, { ...head, steps: {} })) return undefined
  const held = new Set(head.occurrences.held)
  const parts: PartRecord[] = []
  for (const text of partTexts) {
    const checked = partSchema.safeParse(parseJson(text))
    if (!checked.success) return undefined
    const steps = Object.entries((checked.data as PartRecord).steps).filter(([key]) => held.has(Number(key.split('.')[0])))
    if (!steps.every(([key, slice]) => isSliceOf(graph, key, slice))) return undefined
    parts.push({ steps: Object.fromEntries(steps) })
  }
  return joinRecords(graph, head, parts)
}

/** True for a stored task: done (0 or 1), failed runs, number of the last run, checkpoint, runs, ids of the workers on which it failed and, if there were any, crashes. */
function isTaskRecord (value: unknown): boolean {
  if (!Array.isArray(value) || value.length < 6 || value.length > 7) return false
  const [done, failures, lastRun, checkpoint, runs, failedOn, crashes] = value as unknown[]
  return (done === 0 || done === 1) && isCount(failures) && isCount(lastRun) && typeof checkpoint === 'string' &&
    Array.isArray(runs) && runs.every(run => isRunRecord(run, lastRun)) &&
    Array.isArray(failedOn) && failedOn.every(id => typeof id === 'string') &&
    (crashes === undefined || (Array.isArray(crashes) && crashes.length === 3 && crashes.every(isCount)))
}

/** True for a stored run of a task: run number, at most that of the task's last run, id of the worker, start time of its incarnation, address. */
function isRunRecord (value: unknown, lastRun: number): boolean {
  if (!Array.isArray(value) || value.length !== 4) return false
  const [number, workerId, born, address] = value as unknown[]
  return isCount(number) && number >= 1 && number <= lastRun && typeof workerId === 'string' && Number.isSafeInteger(born) && typeof address === 'string'
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}

/** True if the occurrences that a record says to be held are of the job, and include those of its steps. */
function hasPossibleOccurrences (graph: JobGraph, { occurrences, steps }: ProgressRecord): boolean {
  if (occurrences === undefined) return true
  const held = new Set(occurrences.held)
  return occurrences.next <= countOccurrences(graph) && occurrences.held.every(number => number < occurrences.next) && Object.keys(steps).every(key => held.has(Number(key.split('.')[0])))
}

/** True unless a job has an end that has not ended. */
function hasPossibleEnd ({ phase, endedAt }: { readonly phase: JobPhase, readonly endedAt?: number | undefined }): boolean {
  return endedAt === undefined || isFinalPhase(phase)
}

/** True if a stored step has the place and the number of tasks that the job's spec says. */
function isStepOf (graph: JobGraph, key: string, { tasks }: StepRecord): boolean {
  return findTaskCount(graph, key) === tasks.length
}

/** True if a stored slice of a step lies within the tasks that the job's spec says. */
function isSliceOf (graph: JobGraph, key: string, { from, tasks }: StepSlice): boolean {
  return from + tasks.length <= (findTaskCount(graph, key) ?? 0)
}

/** Returns the number of tasks of the step with a key, by the job's spec; undefined if the job has no such step. */
function findTaskCount (graph: JobGraph, key: string): number | undefined {
  const [occurrence = NaN, index = NaN] = key.split('.').map(Number)
  return occurrence < countOccurrences(graph) ? graph.steps[index]?.count : undefined
}
