/**
 * Sends the planner's commands to agents. Commands queued for the same agent are sent as one batch, with at most one call in flight per agent.
 */
import type { AgentCommand } from '@dragonflylever/core'
import type { PeerRpc, TaskCommandMessage, TaskReportMessage } from '@dragonflylever/protocol'

import type { RegisteredJob } from './jobRegistry.js'

/** Timeout of a call that sends commands, in milliseconds; longer than a checkpoint may take. */
const CALL_TIMEOUT_MS = 90_000
/** Timeout of a call that requests an agent's task inventory, in milliseconds. */
const INVENTORY_TIMEOUT_MS = 3_000

/** Dependencies of {@link CommandSender}. */
export interface CommandSenderDependencies {
  readonly peers: PeerRpc
  readonly epoch: number
  /** Control address of this process, to which agents send their task reports. */
  readonly address: string
  /** Returns the control address of a worker's agent; undefined while the worker is absent. */
  readonly getAgentAddress: (workerId: string) => string | undefined
  /** Receives the task reports in agents' answers. */
  readonly onReports: (reports: readonly TaskReportMessage[]) => void
  /** Called when an agent rejects a call because it has seen a higher epoch. */
  readonly onFenced: () => void
}

export class CommandSender {
  private readonly _dependencies: CommandSenderDependencies
  private readonly _queues = new Map<string, TaskCommandMessage[]>()
  private readonly _inFlight = new Set<string>()
  private _isClosed = false

  constructor (dependencies: CommandSenderDependencies) {
    this._dependencies = dependencies
  }

  /** Queues a command for a worker's agent; a command that is already queued is not added again. */
  send (workerId: string, job: RegisteredJob, command: AgentCommand): void {
    const queue = this._queues.get(workerId) ?? []
    this._queues.set(workerId, queue)
    if (!queue.some(known => isSameCommand(known, command))) queue.push(makeCommandMessage(job, command))
    queueMicrotask(() => { void this._sendQueuedCommands(workerId) })
  }

  /** Requests reports on all tasks of a worker from its agent. The request also contains the epoch and address of the planner. */
  async requestInventory (workerId: string): Promise<void> {
    await this._callAgent(workerId, [], INVENTORY_TIMEOUT_MS)
  }

  close (): void {
    this._isClosed = true
    this._queues.clear()
  }

  private async _sendQueuedCommands (workerId: string): Promise<void> {
    if (this._isClosed || this._inFlight.has(workerId)) return
    const commands = this._queues.get(workerId) ?? []
    this._queues.delete(workerId)
    if (commands.length === 0) return
    this._inFlight.add(workerId)
    await this._callAgent(workerId, commands, CALL_TIMEOUT_MS)
    this._inFlight.delete(workerId)
    await this._sendQueuedCommands(workerId)
  }

  private async _callAgent (workerId: string, commands: TaskCommandMessage[], timeoutMs: number): Promise<void> {
    const address = this._dependencies.getAgentAddress(workerId)
    if (address === undefined) return
    const params = { epoch: this._dependencies.epoch, planner: this._dependencies.address, commands, wantsInventory: commands.length === 0 }
    const outcome = await this._dependencies.peers.call(address, 'taskCommands', params, timeoutMs)
    if (this._isClosed || outcome.kind !== 'ok') return
    this._dependencies.onReports(outcome.value.reports)
    if (outcome.value.fencedBy !== undefined) this._dependencies.onFenced()
  }
}

function isSameCommand (known: TaskCommandMessage, command: AgentCommand): boolean {
  return known.kind === command.kind && known.id.jobId === command.id.jobId && known.id.task === command.id.task && known.id.incarnation === command.id.incarnation
}

function makeCommandMessage (job: RegisteredJob, command: AgentCommand): TaskCommandMessage {
  const id = { ...command.id }
  if (command.kind !== 'reserve') return { kind: command.kind, epoch: command.epoch, id }
  const checkpoint = job.record.checkpoints[String(id.task)] ?? ''
  return { kind: 'reserve', epoch: command.epoch, id, shape: { ...command.shape }, payload: job.record.payload, checkpoint }
}
