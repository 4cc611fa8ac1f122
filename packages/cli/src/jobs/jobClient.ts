/**
 * Client for the job API of an entry.
 */
import { JOBS_PATH } from '@dragonflylever/protocol'
import type { JobExplanation, JobView } from '@dragonflylever/protocol'
import { request } from 'undici'

/** URL of the callers' port of an entry, the organisation to act for, and the key of the organisation, if the deployment requires keys. */
export interface JobClientOptions {
  readonly url: string
  readonly organisation: string
  readonly key: string | undefined
}

export type JobCallResult<T> = { readonly kind: 'ok', readonly value: T } | { readonly kind: 'refused', readonly message: string } | { readonly kind: 'failed', readonly message: string }

const TIMEOUT_MS = 10_000

export class JobClient {
  private readonly _options: JobClientOptions

  constructor (options: JobClientOptions) {
    this._options = options
  }

  submit (document: string): Promise<JobCallResult<JobView>> {
    return this._call('POST', '', document)
  }

  list (): Promise<JobCallResult<{ jobs: readonly JobView[] }>> {
    return this._call('GET', '')
  }

  explain (jobId: string): Promise<JobCallResult<JobExplanation>> {
    return this._call('GET', `/${encodeURIComponent(jobId)}/explain`)
  }

  cancel (jobId: string): Promise<JobCallResult<JobView>> {
    return this._call('POST', `/${encodeURIComponent(jobId)}/cancel`)
  }

  private async _call<T> (method: 'GET' | 'POST', path: string, body?: string): Promise<JobCallResult<T>> {
    const { url, organisation, key } = this._options
    const headers: Record<string, string> = { 'dfl-organisation': organisation }
    if (key !== undefined) headers.authorization = `Bearer ${key}`
    try {
      const response = await request(`${url}${JOBS_PATH}${path}`, { method, headers, body: body ?? null, signal: AbortSignal.timeout(TIMEOUT_MS) })
      const value = await response.body.json() as T & { message?: string }
      if (response.statusCode < 300) return { kind: 'ok', value }
      return { kind: response.statusCode < 500 ? 'refused' : 'failed', message: value.message ?? `the entry answered ${response.statusCode}` }
    } catch (error) {
      return { kind: 'failed', message: `${url} can't be reached (${(error as Error).message}); is the entry up?` }
    }
  }
}
