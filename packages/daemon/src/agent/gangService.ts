/**
 * Runs parts of gangs at one agent: obeys planners by epoch, keeps the leases, leads the gangs whose first member it is.
 */
import type { Worker } from '@dragonflylever/platform'
import type { GangPartReport, PeerRpc, RpcParams, RpcRegistry, RpcResultValue } from '@dragonflylever/protocol'
import type { Logger } from '@dragonflylever/runtime'

import { GangLeader } from './gangLeader.js'
import type { GangVerdict } from './gangLeader.js'
import { GangPart, getPartKey } from './gangPart.js'

/** Interval between renewals, in milliseconds. */
export const GANG_RENEW_MS = 1_000
const REPORT_TIMEOUT_MS = 2_000
/** How long an ended part is remembered, so that late orders for it are refused. */
const KEEP_ENDED_MS = 900_000

/** What the service works with. */
export interface GangServiceParts {
  readonly worker: Worker
  readonly peers: PeerRpc
  readonly logger: Logger
  /** True once the agent takes no new work. */
  readonly isLeaving: () => boolean
}

type Report = RpcParams<'gangReport'>

export class GangService {
  private readonly _parts: GangServiceParts
  private readonly _gangs = new Map<string, GangPart>()
  private readonly _leaders = new Map<string, GangLeader>()
  private readonly _reports = new Map<string, Report>()
  private readonly _timer: NodeJS.Timeout
  private _epoch = 0
  private _planner = ''
  private _ticking: Promise<void> | undefined

  constructor (parts: GangServiceParts) {
    this._parts = parts
    this._timer = setInterval(() => { this._ticking ??= this._advance().finally(() => { this._ticking = undefined }) }, GANG_RENEW_MS)
  }

  /** Parts that hold resources or run. */
  get live (): number {
    return [...this._gangs.values()].filter(part => part.isLive).length
  }

  /** Serves the gang methods. */
  register (rpc: RpcRegistry): void {
    rpc.add('gangReserve', params => this._reserve(params))
    rpc.add('gangStart', params => this._start(params))
    rpc.add('gangStop', params => this._stop(params))
    rpc.add('gangThrottle', params => this._throttle(params))
    rpc.add('gangRenew', params => this._renew(params.jobId, params.incarnation))
    rpc.add('gangInventory', params => this._listParts(params.epoch, params.planner))
  }

  /** Stops all parts and waits until that is done. */
  async close (): Promise<void> {
    clearInterval(this._timer)
    await this._ticking
    await Promise.all([...this._gangs.values()].filter(part => part.isLive).map(part => part.stop()))
  }

  private async _reserve (params: RpcParams<'gangReserve'>): Promise<RpcResultValue<'gangReserve'>> {
    if (!this._accept(params.epoch)) return { kind: 'refused', message: `epoch ${params.epoch} is older than ${this._epoch}` }
    if (this._parts.isLeaving()) return { kind: 'refused', message: 'the agent is leaving' }
    this._planner = params.planner
    const key = getPartKey(params.jobId, params.incarnation)
    const known = this._gangs.get(key)
    if (known !== undefined) return known.isLive ? { kind: 'reserved', message: '' } : { kind: 'refused', message: 'this incarnation has ended here' }
    const part = new GangPart(params, this._parts.worker, performance.now() + params.expiresInMs)
    this._gangs.set(key, part)
    const refusal = await part.reserve()
    return refusal === undefined ? { kind: 'reserved', message: '' } : { kind: 'refused', message: refusal }
  }

  private async _start (params: RpcParams<'gangStart'>): Promise<RpcResultValue<'gangStart'>> {
    if (!this._accept(params.epoch)) return { kind: 'refused', message: `epoch ${params.epoch} is older than ${this._epoch}` }
    const key = getPartKey(params.jobId, params.incarnation)
    const part = this._gangs.get(key)
    if (part === undefined) return { kind: 'refused', message: 'nothing is reserved for this incarnation' }
    const failure = await part.start(performance.now())
    if (failure !== undefined) return { kind: 'refused', message: failure }
    if (params.isLeader && !this._leaders.has(key)) this._leaders.set(key, new GangLeader(part.order, this._parts.peers, performance.now()))
    this._parts.logger.info({ job: params.jobId, incarnation: params.incarnation }, 'gang part started')
    return { kind: 'started', message: '' }
  }

  private async _stop (params: RpcParams<'gangStop'>): Promise<RpcResultValue<'gangStop'>> {
    if (!this._accept(params.epoch)) return { kind: 'refused', checkpoints: {} }
    const key = getPartKey(params.jobId, params.incarnation)
    const part = this._gangs.get(key)
    if (part === undefined) {
      this._gangs.set(key, this._makeEnded(params))
      return { kind: 'stopped', checkpoints: {} }
    }
    this._leaders.delete(key)
    this._reports.delete(key)
    const checkpoints = params.withCheckpoint && part.isLive ? await part.checkpoint() : {}
    await part.stop()
    this._parts.logger.info({ job: params.jobId, incarnation: params.incarnation }, 'gang part stopped')
    return { kind: 'stopped', checkpoints }
  }

  /** A stop may come before its reservation; remembering it keeps the late reservation from being taken. */
  private _makeEnded (params: RpcParams<'gangStop'>): GangPart {
    const order = { jobId: params.jobId, incarnation: params.incarnation, tasks: [], members: [], leaseMs: 0 }
    const part = new GangPart(order, this._parts.worker, 0)
    void part.stop()
    return part
  }

  private async _throttle (params: RpcParams<'gangThrottle'>): Promise<RpcResultValue<'gangThrottle'>> {
    const part = this._gangs.get(getPartKey(params.jobId, params.incarnation))
    if (!this._accept(params.epoch) || part === undefined || !part.isLive) return { kind: 'refused' }
    await part.throttle(params.share)
    return { kind: 'throttled' }
  }

  private async _renew (jobId: string, incarnation: number): Promise<GangPartReport> {
    const part = this._gangs.get(getPartKey(jobId, incarnation))
    if (part === undefined || !part.isLive) return { jobId, incarnation, tasks: [] }
    part.renew(performance.now())
    return this._describe(part)
  }

  private async _listParts (epoch: number, planner: string): Promise<RpcResultValue<'gangInventory'>> {
    if (!this._accept(epoch)) return { parts: [] }
    this._planner = planner
    const live = [...this._gangs.values()].filter(part => part.isLive)
    return { parts: await Promise.all(live.map(part => this._describe(part))) }
  }

  private async _describe (part: GangPart): Promise<GangPartReport> {
    const outcome = await this._parts.worker.list()
    return part.describe(outcome.kind === 'ok' ? outcome.tasks : undefined)
  }

  private _accept (epoch: number): boolean {
    if (epoch < this._epoch) return false
    this._epoch = epoch
    return true
  }

  private async _advance (): Promise<void> {
    this._dropOld()
    await this._endLapsed()
    await Promise.all([...this._gangs.values()].map(part => part.touch(performance.now())))
    await Promise.all([...this._leaders.keys()].map(key => this._renewGang(key)))
    await Promise.all([...this._reports.entries()].map(([key, report]) => this._report(key, report)))
  }

  private async _endLapsed (): Promise<void> {
    const now = performance.now()
    for (const [key, part] of this._gangs) {
      if (!part.hasLapsed(now)) continue
      this._parts.logger.warn({ job: part.order.jobId, incarnation: part.order.incarnation }, 'gang lease lapsed, part stopped')
      if (this._leaders.delete(key)) this._reports.set(key, makeReport(part, { kind: 'failed', blamedAgent: '', message: 'the lease lapsed at the leader' }))
      await part.stop()
    }
  }

  private _dropOld (): void {
    const limit = performance.now() - KEEP_ENDED_MS
    for (const [key, part] of this._gangs) if (part.endedAt < limit) this._gangs.delete(key)
  }

  private async _renewGang (key: string): Promise<void> {
    const leader = this._leaders.get(key)
    const part = this._gangs.get(key)
    if (leader === undefined || part === undefined) return
    const own = await this._describe(part)
    const verdict = await leader.renew(own)
    part.renew(performance.now())
    if (verdict.kind !== 'goesOn' && this._leaders.get(key) === leader) await this._end(key, part, leader, verdict)
  }

  private async _end (key: string, part: GangPart, leader: GangLeader, verdict: Exclude<GangVerdict, { kind: 'goesOn' }>): Promise<void> {
    this._leaders.delete(key)
    await leader.stopOthers(this._epoch)
    await part.stop()
    this._reports.set(key, makeReport(part, verdict))
    this._parts.logger.info({ job: part.order.jobId, incarnation: part.order.incarnation, result: verdict.kind }, 'gang ended')
  }

  private async _report (key: string, report: Report): Promise<void> {
    const outcome = await this._parts.peers.call(this._planner, 'gangReport', report, REPORT_TIMEOUT_MS)
    if (outcome.kind === 'ok' && outcome.value.isKnown) this._reports.delete(key)
  }
}

function makeReport (part: GangPart, verdict: Exclude<GangVerdict, { kind: 'goesOn' }>): Report {
  const { jobId, incarnation } = part.order
  const failure = verdict.kind === 'failed' ? verdict : { blamedAgent: '', message: '' }
  return { jobId, incarnation, result: verdict.kind, blamedAgent: failure.blamedAgent, message: failure.message, checkpoints: {} }
}
