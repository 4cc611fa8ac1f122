/**
 * Leads one gang: renews its lease with every agent of the gang, and ends the gang when all tasks are done or one is lost.
 */
import { TaskState } from '@dragonflylever/platform'
import type { GangPartReport, PeerRpc, RpcParams } from '@dragonflylever/protocol'

import type { PartOrder } from './gangPart.js'

const CALL_TIMEOUT_MS = 1_500
const STOP_TIMEOUT_MS = 5_000

/** What the gang has come to. */
export type GangVerdict =
  | { readonly kind: 'goesOn' }
  | { readonly kind: 'done' }
  | { readonly kind: 'failed', readonly blamedAgent: string, readonly message: string }

interface MemberView {
  lastSeenAt: number
  report: GangPartReport | undefined
}

export class GangLeader {
  private readonly _order: PartOrder
  private readonly _peers: PeerRpc
  private readonly _views = new Map<string, MemberView>()

  constructor (order: PartOrder, peers: PeerRpc, now: number) {
    this._order = order
    this._peers = peers
    for (const address of order.members) this._views.set(address, { lastSeenAt: now, report: undefined })
  }

  /** Renews with all other agents; `own` is the leader's own part. */
  async renew (own: GangPartReport): Promise<GangVerdict> {
    const { jobId, incarnation, members } = this._order
    const [self, ...others] = members
    if (self !== undefined) this._note(self, own)
    await Promise.all(others.map(async address => {
      const outcome = await this._peers.call(address, 'gangRenew', { jobId, incarnation }, CALL_TIMEOUT_MS)
      if (outcome.kind === 'ok') this._note(address, outcome.value)
    }))
    return this._decide(performance.now())
  }

  /** Tells all other agents to stop their parts. */
  async stopOthers (epoch: number): Promise<void> {
    const { jobId, incarnation, members } = this._order
    const params: RpcParams<'gangStop'> = { jobId, incarnation, epoch, withCheckpoint: false }
    await Promise.all(members.slice(1).map(address => this._peers.call(address, 'gangStop', params, STOP_TIMEOUT_MS)))
  }

  private _note (address: string, report: GangPartReport): void {
    this._views.set(address, { lastSeenAt: performance.now(), report })
  }

  private _decide (now: number): GangVerdict {
    const reports = [...this._views.entries()]
    for (const [address, view] of reports) {
      const failure = describeFailure(view, now, this._order.leaseMs)
      if (failure !== undefined) return { kind: 'failed', blamedAgent: address, message: failure }
    }
    const isDone = reports.every(([, view]) => view.report !== undefined && view.report.tasks.every(task => task.state === TaskState.done))
    return isDone ? { kind: 'done' } : { kind: 'goesOn' }
  }
}

function describeFailure (view: MemberView, now: number, leaseMs: number): string | undefined {
  if (now - view.lastSeenAt >= leaseMs) return 'the agent has not answered for a lease'
  if (view.report === undefined) return undefined
  if (view.report.tasks.length === 0) return 'the agent does not know its part'
  const lost = view.report.tasks.find(task => task.state === TaskState.failed || task.state === TaskState.stopped || task.state === TaskState.expired)
  return lost === undefined ? undefined : `task ${lost.taskId} ${lost.state}: ${lost.message}`
}
