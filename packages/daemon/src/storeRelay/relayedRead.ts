/**
 * One read through several agents, which is harmless to repeat: the next agent is asked as soon as one fails, and further ones at intervals while no answer has begun. An answer that has begun is
 * waited for, and the other agents are told to stop, so that their answers don't take its place on the link.
 */
import type { HttpOutcome } from '@dragonflylever/runtime'

/** Time without the beginning of an answer after which further agents are asked, in milliseconds; an answer takes up to 130 ms between regions. */
const INTERVAL_MS = 150
/** Maximum number of agents that are asked at once. */
const MAX_WIDTH = 8

/** Dependencies of {@link RelayedRead}. */
export interface RelayedReadDependencies {
  /** Agents in the order in which they are asked. */
  readonly addresses: readonly string[]
  /** Time without the beginning of an answer after which the read fails, in milliseconds. */
  readonly maxSearchMs: number
  /** Asks an agent; `onPart` must be called with each part of its answer. */
  readonly callAgent: (address: string, signal: AbortSignal, onPart: (part: Buffer, status: number) => void) => Promise<HttpOutcome>
  /** True if an agent's answer is the store's. */
  readonly isRelayed: (outcome: HttpOutcome) => boolean
  /** Called with the outcome of each agent that was not told to stop, also of those that had not answered when the search ended in vain. */
  readonly onOutcome: (address: string, outcome: HttpOutcome) => void
  /** True once the read need not be relayed any more; it then ends at the next interval unless an answer has begun. */
  readonly isNeedless: () => boolean
  /** Aborts the read. */
  readonly signal?: AbortSignal | undefined
}

export class RelayedRead {
  private readonly _dependencies: RelayedReadDependencies
  private readonly _attempts = new Map<string, AbortController>()
  /** The agent whose answer has begun. */
  private _answering: string | undefined
  private _asked = 0
  /** Number of agents that are asked next time. */
  private _width = 1
  private _searchTimer: NodeJS.Timeout | undefined
  private _intervalTimer: NodeJS.Timeout | undefined
  private _settle: (outcome: HttpOutcome | undefined) => void = () => {}

  constructor (dependencies: RelayedReadDependencies) {
    this._dependencies = dependencies
  }

  /** Resolves with the store's answer, or with undefined if no agent could relay the read. */
  async run (): Promise<HttpOutcome | undefined> {
    const { signal } = this._dependencies
    const onAbort = (): void => this._settle(undefined)
    const outcome = await new Promise<HttpOutcome | undefined>(resolve => {
      this._settle = resolve
      signal?.addEventListener('abort', onAbort, { once: true })
      this._startSearch()
      if (signal?.aborted === true) resolve(undefined)
    })
    signal?.removeEventListener('abort', onAbort)
    this._stopSearch()
    const isInVain = outcome === undefined && signal?.aborted !== true && !this._dependencies.isNeedless()
    for (const [address, attempt] of this._attempts) {
      attempt.abort()
      if (isInVain) this._dependencies.onOutcome(address, { kind: 'lost', message: 'no answer before the search ended' })
    }
    return outcome
  }

  private _startSearch (): void {
    this._searchTimer = setTimeout(() => this._settle(undefined), this._dependencies.maxSearchMs)
    this._callNext()
    this._scheduleFurther()
  }

  private _stopSearch (): void {
    clearTimeout(this._searchTimer)
    clearTimeout(this._intervalTimer)
  }

  private _scheduleFurther (): void {
    this._intervalTimer = setTimeout(() => {
      if (this._dependencies.isNeedless()) return this._settle(undefined)
      for (let count = 0; count < this._width; count++) this._callNext()
      this._width = Math.min(MAX_WIDTH, this._width * 2)
      this._scheduleFurther()
    }, INTERVAL_MS)
  }

  private _callNext (): void {
    const address = this._dependencies.addresses[this._asked]
    if (address === undefined) return
    this._asked++
    void this._callAgent(address)
  }

  private async _callAgent (address: string): Promise<void> {
    const { callAgent, isRelayed, onOutcome } = this._dependencies
    const abort = new AbortController()
    this._attempts.set(address, abort)
    const outcome = await callAgent(address, abort.signal, (_part, status) => this._noteAnswer(address, status))
    this._attempts.delete(address)
    if (abort.signal.aborted) return
    onOutcome(address, outcome)
    if (isRelayed(outcome)) return this._settle(outcome)
    this._resumeSearch(address)
  }

  /** Waits for the answer of one agent once it has begun, and stops the other agents. An answer with which an agent reports a failure doesn't count. */
  private _noteAnswer (address: string, status: number): void {
    if (this._answering !== undefined || !this._dependencies.isRelayed({ kind: 'answered', status, headers: {}, body: '' })) return
    this._answering = address
    this._stopSearch()
    for (const [other, attempt] of this._attempts) if (other !== address) attempt.abort()
  }

  /** Asks the next agent after a failure; the read has failed once no agent is left. */
  private _resumeSearch (address: string): void {
    if (this._answering === address) {
      this._answering = undefined
      return this._startSearch()
    }
    if (this._asked < this._dependencies.addresses.length) return this._callNext()
    if (this._attempts.size === 0) this._settle(undefined)
  }
}
