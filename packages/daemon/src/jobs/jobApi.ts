/**
 * The HTTP API for jobs on an entry's client port: submit, list, show, explain and cancel.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

import type { JobSpec } from '@dragonflylever/core'
import { CallerHeader, JOBS_PATH, MAX_JOB_BYTES, jobRequestSchema, parseDocument, parseDuration } from '@dragonflylever/protocol'
import type { Configuration, JobExplanation, JobRequest } from '@dragonflylever/protocol'
import { readBody, sendJson } from '@dragonflylever/runtime'

import type { JobDirectory } from './jobDirectory.js'
import { computeJobId, createQueuedGangRecord, describeJob, hasEnded } from './jobRecord.js'
import type { JobRecord } from './jobRecord.js'

const RETRY_AFTER_S = 2

/** Dependencies of {@link JobApi}. */
export interface JobApiDependencies {
  readonly directory: JobDirectory
  readonly getConfiguration: () => Configuration | undefined
  /** Returns true if the request is authorised to act for the organisation. */
  readonly isAllowed: (message: IncomingMessage, organisation: string) => boolean
  /** Asks the planner why a job is waiting; resolves with undefined if the planner cannot be reached. */
  readonly explain: (jobId: string) => Promise<{ readonly reasons: readonly string[], readonly expectedStartAt: number | undefined } | undefined>
}

export class JobApi {
  private readonly _dependencies: JobApiDependencies

  constructor (dependencies: JobApiDependencies) {
    this._dependencies = dependencies
  }

  /** Answers an HTTP request whose path starts with `/v1/jobs`. */
  async handle (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const [path = ''] = (message.url ?? '').split('?')
    const [jobId = '', action = '', ...rest] = path.slice(JOBS_PATH.length + 1).split('/')
    const route = `${message.method} ${jobId === '' ? '' : ':id'}${action === '' ? '' : `/${action}`}`
    const organisation = message.headers[CallerHeader.organisation]
    if (typeof organisation !== 'string' || rest.length > 0) return sendError(response, 400, 'badRequest', `header ${CallerHeader.organisation} is missing, or the path is too long`)
    if (!this._dependencies.isAllowed(message, organisation)) return sendError(response, 401, 'unauthorised', `the key for organisation "${organisation}" is missing or wrong`)
    if (route === 'POST ') return this._submit(message, response, organisation)
    if (route === 'GET ') return this._list(response, organisation)
    if (route === 'GET :id') return this._handleJob(response, organisation, jobId, async record => sendJson(response, 200, describeJob(record)))
    if (route === 'GET :id/explain') return this._handleJob(response, organisation, jobId, record => this._explain(response, record))
    if (route === 'POST :id/cancel') return this._handleJob(response, organisation, jobId, record => this._cancel(response, record))
    sendError(response, 404, 'badRequest', `no such call: ${message.method} ${path}; see docs/jobs.md`)
  }

  private async _submit (message: IncomingMessage, response: ServerResponse, organisation: string): Promise<void> {
    const read = await readBody(message, { maxBytes: MAX_JOB_BYTES })
    if (read.kind === 'broken') return
    if (read.kind === 'tooLarge') return sendError(response, 413, 'tooLarge', `a job is at most ${MAX_JOB_BYTES} bytes`)
    if (read.kind === 'overloaded') return sendError(response, 503, 'overloaded', 'this entry holds as many requests as it may; the job was not accepted')
    const parsed = parseDocument(read.body.toString('utf8'), jobRequestSchema)
    if (parsed.kind === 'invalid') {
      const faults = parsed.faults.map(fault => `${fault.path}: found ${fault.found}, expected ${fault.expected}`)
      return sendError(response, 400, 'badRequest', faults.join('; '))
    }
    const record = makeSubmittedRecord(parsed.value, organisation, this._dependencies.getConfiguration())
    if (typeof record === 'string') return sendError(response, 400, 'badRequest', record)
    const outcome = await this._dependencies.directory.submit(record)
    if (outcome.kind === 'accepted') return sendJson(response, 202, describeJob(outcome.record))
    if (outcome.kind === 'repeated') return sendJson(response, 200, describeJob(outcome.record))
    if (outcome.kind === 'keyReused') return sendError(response, 422, 'keyReused', `key "${parsed.value.key}" was used for another job`)
    if (outcome.kind === 'unsettled') return sendJson(response, 502, { outcome: 'unknown', reason: 'answerLost', message: outcome.message })
    sendError(response, 503, 'storeUnavailable', `the job was not accepted: ${outcome.message}`)
  }

  private async _list (response: ServerResponse, organisation: string): Promise<void> {
    const outcome = await this._dependencies.directory.list(organisation)
    if (outcome.kind !== 'listed') return sendError(response, 503, 'storeUnavailable', outcome.message)
    const jobs = outcome.records.map(describeJob).sort((a, b) => b.submittedAt - a.submittedAt)
    sendJson(response, 200, { jobs })
  }

  private async _handleJob (response: ServerResponse, organisation: string, jobId: string, respond: (record: JobRecord) => Promise<void>): Promise<void> {
    const outcome = await this._dependencies.directory.find(jobId)
    if (outcome.kind === 'unavailable') return sendError(response, 503, 'storeUnavailable', outcome.message)
    const isOwn = outcome.kind === 'found' && outcome.record.spec.organisation === organisation
    if (!isOwn) return sendError(response, 404, 'badRequest', `organisation "${organisation}" has no job ${jobId}`)
    await respond(outcome.record)
  }

  private async _explain (response: ServerResponse, record: JobRecord): Promise<void> {
    const job = describeJob(record)
    const answer = hasEnded(record) ? { reasons: [`the job is ${record.gang.phase.kind}`], expectedStartAt: undefined } : await this._dependencies.explain(record.spec.id)
    const reasons = answer?.reasons ?? ['the planner can\'t be reached now; the job keeps its place']
    const explanation: JobExplanation = { job, reasons: record.message === '' ? reasons : [...reasons, record.message], expectedStartAt: answer?.expectedStartAt }
    sendJson(response, 200, explanation)
  }

  private async _cancel (response: ServerResponse, record: JobRecord): Promise<void> {
    if (hasEnded(record)) return sendJson(response, 200, describeJob(record))
    const outcome = await this._dependencies.directory.cancel(record.spec.id)
    if (outcome.kind === 'unavailable') return sendError(response, 503, 'storeUnavailable', outcome.message)
    sendJson(response, 202, { ...describeJob(record), message: 'cancellation asked for' })
  }
}

/** Builds the record of a submitted job; returns the reason as a string if the submission is invalid. */
function makeSubmittedRecord (request: JobRequest, organisation: string, configuration: Configuration | undefined): JobRecord | string {
  if (configuration === undefined) return 'no configuration is in force yet; try again shortly'
  if (request.organisation !== organisation) return `the job names organisation "${request.organisation}", the header "${organisation}"`
  const { classes, organisations } = configuration.declarations
  const declaration = classes[request.class]
  if (declaration === undefined || declaration.kind !== 'job') return `class "${request.class}" is not declared for jobs`
  if (organisations[organisation] === undefined) return `organisation "${organisation}" is not declared`
  const spec = makeJobSpec(request, parseDuration(declaration.finishWithin) ?? 0)
  return {
    spec,
    payload: JSON.stringify(request.payload ?? {}),
    submittedAt: Date.now(),
    gang: createQueuedGangRecord(spec.id),
    attempts: 0,
    doneMs: 0,
    checkpoints: {},
    message: ''
  }
}

function makeJobSpec (request: JobRequest, finishWithinMs: number): JobSpec {
  const { accelerators, cores, memoryGb } = request.shape
  return {
    id: computeJobId(request.organisation, request.key),
    idempotencyKey: request.key,
    className: request.class,
    organisation: request.organisation,
    tasks: request.tasks,
    shape: { accelerators, cores, memoryGb },
    adjacency: request.adjacency,
    declaredRunMs: parseDuration(request.runFor) ?? 0,
    finishWithinMs,
    isCheckpointable: request.checkpointable
  }
}

function sendError (response: ServerResponse, status: number, reason: string, message: string): void {
  if (status === 503) response.setHeader('retry-after', RETRY_AFTER_S)
  sendJson(response, status, { outcome: 'notRun', reason, message })
}
