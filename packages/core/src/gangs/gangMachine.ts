/**
 * State machine of one gang: an event produces a new state and commands. It has no clock and does no I/O.
 *
 * A gang starts in this order: all tasks are reserved, the placement is stored, all tasks report ready, and then all get the `go`
 * command. A planner that loses a compare-and-swap to a later epoch is fenced and does nothing more. A new incarnation begins only
 * when no task of the previous one can still run: each was reported as ended, or its lease has expired.
 */
import { TaskStatus } from './gangMessages.js'
import type { AgentCommand, GangCommand, GangEvent, GangPhase, GangRecord, TaskReport, WriteResult } from './gangMessages.js'
import type { Gang, GangStep, GangTimes } from './gangState.js'
import type { JobSpec, Placement, StopGoal } from './jobTypes.js'

const ENDED_STATUSES: ReadonlySet<TaskStatus | undefined> = new Set([TaskStatus.finished, TaskStatus.failed, TaskStatus.checkpointed, TaskStatus.gone])
const STARTED_STATUSES: ReadonlySet<TaskStatus | undefined> = new Set([TaskStatus.running, TaskStatus.finished])

/** Restores a gang from its stored record under the epoch of a new planner. */
export function restoreGang (spec: JobSpec, record: GangRecord, revision: number, epoch: number, times: GangTimes, now: number): GangStep {
  const stage = record.phase.kind === 'queued' ? 'queued' : record.phase.kind === 'committed' ? 'recovering' : 'ended'
  const leasesExpireAt = now + times.leaseMs + times.marginMs
  const gang: Gang = {
    spec,
    epoch,
    stage,
    record,
    revision,
    incarnation: record.incarnation,
    placement: record.placement,
    coveredBy: record.coveredBy,
    statuses: record.placement.map(() => undefined),
    goal: undefined,
    pending: undefined,
    isWriteDue: false,
    leasesExpireAt,
    stageDeadlineAt: leasesExpireAt
  }
  return { gang, commands: [] }
}

/** Returns whether the leases of the gang's tasks may be renewed in its current stage. */
export function isRenewable (gang: Gang): boolean {
  return gang.stage === 'committing' || gang.stage === 'starting' || gang.stage === 'running' || gang.stage === 'checkpointing'
}

/** Records that the leases of the gang's tasks are renewed at `now`. Must be called before the renewal is sent to the agent. */
export function recordRenewal (gang: Gang, times: GangTimes, now: number): Gang {
  return { ...gang, leasesExpireAt: Math.max(gang.leasesExpireAt, now + times.leaseMs + times.marginMs) }
}

/** Returns whether a reported task does not belong to the current incarnation of a gang and must be stopped. */
export function isOrphanedTask (gang: Gang | undefined, report: TaskReport): boolean {
  if (gang === undefined || gang.stage === 'ended' || gang.stage === 'queued') return true
  return gang.incarnation !== report.id.incarnation || gang.placement[report.id.task] !== report.workerId
}

/** Returns the state of a gang after an event, with the commands to carry out. */
export function advanceGang (gang: Gang, event: GangEvent, times: GangTimes, now: number): GangStep {
  if (gang.stage === 'ended' || gang.stage === 'fenced') return { gang, commands: [] }
  switch (event.kind) {
    case 'place': return gang.stage === 'queued' ? beginReserving(gang, event.placement, event.coveredBy, times, now) : makeStep(gang)
    case 'report': return acceptReport(gang, event.report, times, now)
    case 'workerLost': return handleWorkerLoss(gang, event.workerId, times, now)
    case 'written': return handleWriteResult(gang, event.nonce, event.result, times, now)
    case 'readBack': return resolvePendingWrite(gang, event.record, event.revision, times, now)
    case 'reclaim': return reclaim(gang, event.how, times, now)
    case 'fail': return endGang(gang, { kind: 'fail', reason: event.reason }, now)
    case 'cancel': return endGang(gang, { kind: 'cancel' }, now)
    case 'tick': return handleTick(gang, times, now)
  }
}

function makeStep (gang: Gang): GangStep {
  return { gang, commands: [] }
}

function beginReserving (gang: Gang, placement: Placement, coveredBy: readonly string[], times: GangTimes, now: number): GangStep {
  const next: Gang = {
    ...gang,
    stage: 'reserving',
    incarnation: gang.incarnation + 1,
    placement,
    coveredBy,
    statuses: placement.map(() => undefined),
    leasesExpireAt: now + times.leaseMs + times.marginMs,
    stageDeadlineAt: now + times.leaseMs / 2
  }
  return { gang: next, commands: makeCommandsToAll(next, 'reserve') }
}

function makeCommandsToAll (gang: Gang, kind: AgentCommand['kind'], isIncluded: (status: TaskStatus | undefined) => boolean = () => true): GangCommand[] {
  return gang.placement.flatMap((workerId, task) => isIncluded(gang.statuses[task]) ? [makeSendCommand(gang, kind, workerId, task)] : [])
}

function makeSendCommand (gang: Gang, kind: AgentCommand['kind'], workerId: string, task: number): GangCommand {
  const id = { jobId: gang.spec.id, incarnation: gang.incarnation, task }
  const command: AgentCommand = kind === 'reserve'
    ? { kind, epoch: gang.epoch, id, shape: gang.spec.shape }
    : { kind, epoch: gang.epoch, id }
  return { kind: 'send', workerId, command }
}

function acceptReport (gang: Gang, report: TaskReport, times: GangTimes, now: number): GangStep {
  const { id } = report
  if (id.incarnation !== gang.incarnation || gang.placement[id.task] !== report.workerId) return makeStep(gang)
  if (gang.stage === 'queued') return makeStep(gang)
  const known = gang.statuses[id.task]
  if (ENDED_STATUSES.has(known) && !ENDED_STATUSES.has(report.status)) return makeStep(gang)
  const statuses = gang.statuses.with(id.task, report.status)
  const next = report.status === TaskStatus.reserved ? recordRenewal({ ...gang, statuses }, times, now) : { ...gang, statuses }
  const failures: GangCommand[] = report.status === TaskStatus.failed && known !== TaskStatus.failed && gang.stage === 'running'
    ? [{ kind: 'taskFailed', jobId: gang.spec.id, workerId: report.workerId }]
    : []
  const step = decideAfterReport(next, report.status, times, now)
  return { gang: step.gang, commands: [...failures, ...step.commands] }
}

function decideAfterReport (gang: Gang, status: TaskStatus, times: GangTimes, now: number): GangStep {
  switch (gang.stage) {
    case 'reserving':
      if (status === TaskStatus.gone) return beginStopping(gang, { kind: 'requeue' })
      return gang.statuses.every(item => item === TaskStatus.reserved) ? beginCommitting(gang) : makeStep(gang)
    case 'starting':
      if (ENDED_STATUSES.has(status)) return beginStopping(gang, { kind: 'requeue' })
      return gang.statuses.every(item => item === TaskStatus.ready || item === TaskStatus.running) ? beginRunning(gang, times, now) : makeStep(gang)
    case 'recovering':
      return recoverGang(gang, status, times, now)
    case 'running':
      if (gang.statuses.every(item => item === TaskStatus.finished)) return beginRecording(gang, { kind: 'done' })
      return ENDED_STATUSES.has(status) && status !== TaskStatus.finished ? beginStopping(gang, { kind: 'requeue' }) : makeStep(gang)
    case 'checkpointing':
      if (gang.statuses.every(item => item === TaskStatus.finished)) return beginRecording(gang, { kind: 'done' })
      return gang.statuses.every(item => ENDED_STATUSES.has(item)) ? beginStopping(gang, { kind: 'requeue' }) : makeStep(gang)
    case 'stopping':
      return finishStopping(gang, now)
    default:
      return makeStep(gang)
  }
}

function beginCommitting (gang: Gang): GangStep {
  return beginWrite({ ...gang, stage: 'committing' }, { kind: 'committed' })
}

/** Sends `go` to all tasks. Until all of them have reported that they run, only a part of the gang may be running; a deadline bounds this time. */
function beginRunning (gang: Gang, times: GangTimes, now: number): GangStep {
  return { gang: { ...gang, stage: 'running', stageDeadlineAt: now + times.leaseMs }, commands: makeCommandsToAll(gang, 'go', status => status !== TaskStatus.running) }
}

/**
 * Resumes a gang under a new planner, once the status of every task is known. The gang continues if all its tasks have started or none
 * has. All its tasks are stopped if only some have started, or as soon as a task is reported to have ended without finishing.
 */
function recoverGang (gang: Gang, status: TaskStatus, times: GangTimes, now: number): GangStep {
  if (ENDED_STATUSES.has(status) && status !== TaskStatus.finished) return beginStopping(gang, { kind: 'requeue' })
  if (gang.statuses.some(item => item === undefined)) return makeStep(gang)
  if (gang.statuses.every(item => item === TaskStatus.finished)) return beginRecording(gang, { kind: 'done' })
  if (gang.statuses.every(item => STARTED_STATUSES.has(item)) || gang.statuses.every(item => item === TaskStatus.ready)) return beginRunning(gang, times, now)
  if (gang.statuses.some(item => STARTED_STATUSES.has(item))) return beginStopping(gang, { kind: 'requeue' })
  return { gang: { ...gang, stage: 'starting' }, commands: makeCommandsToAll(gang, 'prepare', item => item === TaskStatus.reserved) }
}

function beginStopping (gang: Gang, goal: StopGoal): GangStep {
  return { gang: { ...gang, stage: 'stopping', goal }, commands: makeCommandsToAll(gang, 'stop') }
}

/**
 * Completes the stop of a gang once every task is reported as `gone` or all leases have expired. The end of a task is not enough, since
 * its agent keeps an ended task until the stop command arrives.
 */
function finishStopping (gang: Gang, now: number): GangStep {
  const isOver = now >= gang.leasesExpireAt || gang.statuses.every(status => status === TaskStatus.gone)
  if (!isOver || gang.goal === undefined) return makeStep(gang)
  const { goal } = gang
  if (goal.kind === 'cancel') return beginRecording(gang, { kind: 'cancelled' })
  if (goal.kind === 'fail') return beginRecording(gang, { kind: 'failed', reason: goal.reason })
  if (gang.record.phase.kind === 'queued') return makeStep(clearPlacement(gang))
  return beginRecording(gang, { kind: 'queued' })
}

function clearPlacement (gang: Gang): Gang {
  return { ...gang, stage: 'queued', placement: [], coveredBy: [], statuses: [], goal: undefined }
}

function beginRecording (gang: Gang, phase: GangPhase): GangStep {
  return beginWrite({ ...gang, stage: 'recording' }, phase)
}

function beginWrite (gang: Gang, phase: GangPhase): GangStep {
  const isPlaced = phase.kind === 'committed'
  const pending: GangRecord = {
    jobId: gang.spec.id,
    phase,
    incarnation: gang.incarnation,
    placement: isPlaced ? gang.placement : [],
    coveredBy: isPlaced ? gang.coveredBy : [],
    epoch: gang.epoch,
    nonce: `${gang.epoch}/${gang.revision}/${gang.incarnation}/${phase.kind}`
  }
  return { gang: { ...gang, pending, isWriteDue: false }, commands: [{ kind: 'write', record: pending, expectedRevision: gang.revision }] }
}

function handleWriteResult (gang: Gang, nonce: string, result: WriteResult, times: GangTimes, now: number): GangStep {
  if (gang.pending === undefined || gang.pending.nonce !== nonce) return makeStep(gang)
  if (result.kind === 'ok') return advanceAfterWrite(gang, gang.pending, result.revision, times, now)
  if (result.kind === 'unavailable') return makeStep({ ...gang, isWriteDue: true })
  return { gang, commands: [{ kind: 'read', jobId: gang.spec.id }] }
}

/**
 * Resolves a pending write from the record that is in the store. A conflict may come from this planner's own earlier write whose
 * answer was lost, which only the nonce shows. It may also come from a write that an earlier planner had in flight when this one
 * read the record: the earlier planner's decision stands, and the gang is restored from it.
 */
function resolvePendingWrite (gang: Gang, record: GangRecord, revision: number, times: GangTimes, now: number): GangStep {
  if (gang.pending === undefined) return makeStep(gang)
  if (record.nonce === gang.pending.nonce) return advanceAfterWrite(gang, gang.pending, revision, times, now)
  if (revision === gang.revision) return makeStep({ ...gang, isWriteDue: true })
  if (record.epoch > gang.epoch) return { gang: { ...gang, stage: 'fenced', pending: undefined }, commands: [{ kind: 'fenced', jobId: gang.spec.id }] }
  const restored = restoreGang(gang.spec, record, revision, gang.epoch, times, now).gang
  const goal = getEndGoal(gang)
  const step = goal === undefined || restored.stage === 'ended' ? makeStep(restored) : endGang(restored, goal, now)
  return { gang: step.gang, commands: [...makeCommandsToAll(gang, 'stop'), ...step.commands] }
}

function getEndGoal (gang: Gang): StopGoal | undefined {
  const phase = gang.pending?.phase
  if (phase?.kind === 'failed') return { kind: 'fail', reason: phase.reason }
  if (phase?.kind === 'cancelled') return { kind: 'cancel' }
  return gang.goal?.kind === 'requeue' ? undefined : gang.goal
}

function advanceAfterWrite (gang: Gang, record: GangRecord, revision: number, times: GangTimes, now: number): GangStep {
  const next: Gang = { ...gang, record, revision, pending: undefined, isWriteDue: false }
  if (record.phase.kind === 'queued') {
    const isEnding = next.goal !== undefined && next.goal.kind !== 'requeue'
    return isEnding ? endGang(clearPlacement(next), next.goal, now) : makeStep(clearPlacement(next))
  }
  if (record.phase.kind !== 'committed') return { gang: { ...next, stage: 'ended' }, commands: makeCommandsToAll(next, 'stop', status => status !== TaskStatus.gone) }
  if (next.goal !== undefined) return beginStopping(next, next.goal)
  if (next.statuses.some(status => ENDED_STATUSES.has(status))) return beginStopping(next, { kind: 'requeue' })
  return { gang: { ...next, stage: 'starting', stageDeadlineAt: now + times.leaseMs }, commands: makeCommandsToAll(next, 'prepare') }
}

function handleWorkerLoss (gang: Gang, workerId: string, times: GangTimes, now: number): GangStep {
  if (!gang.placement.includes(workerId)) return makeStep(gang)
  switch (gang.stage) {
    case 'reserving':
    case 'starting':
    case 'running':
    case 'checkpointing':
      return beginStopping(gang, { kind: 'requeue' })
    case 'committing':
      return makeStep({ ...gang, goal: gang.goal ?? { kind: 'requeue' } })
    default:
      return handleTick(gang, times, now)
  }
}

function reclaim (gang: Gang, how: 'checkpoint' | 'stop', times: GangTimes, now: number): GangStep {
  if (gang.stage === 'running' && how === 'checkpoint') {
    const next: Gang = { ...gang, stage: 'checkpointing', stageDeadlineAt: now + times.checkpointMs }
    return { gang: next, commands: makeCommandsToAll(next, 'checkpoint') }
  }
  if (gang.stage === 'running' || gang.stage === 'checkpointing' || gang.stage === 'starting' || gang.stage === 'reserving') return beginStopping(gang, { kind: 'requeue' })
  if (gang.stage === 'committing') return makeStep({ ...gang, goal: gang.goal ?? { kind: 'requeue' } })
  return makeStep(gang)
}

/** Cancels or fails a gang in any stage; a job that finishes in the meantime stays finished. */
function endGang (gang: Gang, goal: StopGoal, now: number): GangStep {
  const phase: GangPhase = goal.kind === 'fail' ? { kind: 'failed', reason: goal.reason } : { kind: 'cancelled' }
  switch (gang.stage) {
    case 'queued': return beginRecording(gang, phase)
    case 'committing': return makeStep({ ...gang, goal })
    case 'recording': return makeStep(gang.pending?.phase.kind === 'queued' ? { ...gang, goal } : gang)
    case 'stopping': return finishStopping({ ...gang, goal }, now)
    default: return beginStopping(gang, goal)
  }
}

/** Handles the passage of time: stage deadlines, expired leases, and retries of commands that may have been lost. */
function handleTick (gang: Gang, times: GangTimes, now: number): GangStep {
  if (gang.pending !== undefined) return retryWrite(gang)
  switch (gang.stage) {
    case 'reserving':
      return now >= gang.stageDeadlineAt ? beginStopping(gang, { kind: 'requeue' }) : { gang: recordRenewal(gang, times, now), commands: makeCommandsToAll(gang, 'reserve', status => status === undefined) }
    case 'starting':
      return now >= gang.stageDeadlineAt ? beginStopping(gang, { kind: 'requeue' }) : { gang, commands: makeCommandsToAll(gang, 'prepare', status => status === TaskStatus.reserved) }
    case 'recovering':
      return now >= gang.leasesExpireAt ? beginStopping(gang, { kind: 'requeue' }) : makeStep(gang)
    case 'running':
      if (now >= gang.stageDeadlineAt && !gang.statuses.every(status => STARTED_STATUSES.has(status))) return beginStopping(gang, { kind: 'requeue' })
      return { gang, commands: makeCommandsToAll(gang, 'go', status => status === TaskStatus.ready) }
    case 'checkpointing':
      return now >= gang.stageDeadlineAt ? beginStopping(gang, { kind: 'requeue' }) : { gang, commands: makeCommandsToAll(gang, 'checkpoint', status => !ENDED_STATUSES.has(status)) }
    case 'stopping': {
      const step = finishStopping(gang, now)
      return step.gang.stage === 'stopping' ? { gang: step.gang, commands: makeCommandsToAll(gang, 'stop', status => status !== TaskStatus.gone) } : step
    }
    default:
      return makeStep(gang)
  }
}

/** Retries the pending write when it is known not to have been applied; otherwise reads the stored record first. */
function retryWrite (gang: Gang): GangStep {
  if (gang.pending === undefined) return makeStep(gang)
  if (!gang.isWriteDue) return { gang, commands: [{ kind: 'read', jobId: gang.spec.id }] }
  return { gang: { ...gang, isWriteDue: false }, commands: [{ kind: 'write', record: gang.pending, expectedRevision: gang.revision }] }
}
