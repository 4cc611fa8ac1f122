/**
 * An agent is killed while its worker ends more runs than one answer of the worker lists. The agent that starts again takes the ends that are not listed yet for runs that are gone, and they run a second time.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'

import { NotRun, runCase } from '../standins-3/fleet.js'

const MS_PER_S = 1_000
const JOB = '00000000000000c1'
const STEP = { count: 1_400, cpu: 45, 'mem-mb': 10, 'est-duration-ms': 12_000 }
/** The tasks of the job work until this time after the first start, in milliseconds. */
const WORK_MS = 12_000
const MIN_WORK_MS = 3_000
/** How long before that time the agent is killed, in milliseconds. */
const BEFORE_END_MS = 500
/** Number of ends that a worker lists at a time, by PROTOCOL.md. */
const LISTED_ENDS = 500
/** Time without the killed process, in milliseconds; the site file has 3 s for `node_kill`. */
const KILLED_MS = MS_PER_S
const MAX_WAIT_MS = 40 * MS_PER_S
const WATCHED_MS = 25 * MS_PER_S

const clock = { firstStartAt: undefined }

function describe () {
  clock.firstStartAt ??= performance.now()
  return { workMs: Math.max(MIN_WORK_MS, clock.firstStartAt + WORK_MS - performance.now()), needs: { cpu: STEP.cpu, 'mem-mb': STEP['mem-mb'] }, gangSize: 1, isLasting: false }
}

function listDone (recorder) {
  return recorder.list('end').filter(({ how }) => how === 'done')
}

/** The rule TWICE: a start after a run has ended `done`, if that end is taken note of then or later. An end isn't taken note of if the worker's lease lapses before `last-seen` reaches it. */
function findSecondRuns (recorder) {
  const violations = []
  const starts = new Map()
  for (const { at, task, run } of recorder.list('start')) starts.set(task, [...starts.get(task) ?? [], { at, run }])
  for (const { at: doneAt, worker, number, task, run } of listDone(recorder)) {
    const notedAt = recorder.list('noted').find(noted => noted.worker === worker && noted.lastSeen >= number)?.at
    if (notedAt === undefined || recorder.list('lease lapsed').some(({ worker: other, at }) => other === worker && at > doneAt && at < notedAt)) continue
    const again = starts.get(task)?.find(start => start.at > doneAt && start.run > run)
    if (again !== undefined) violations.push({ rule: 'TWICE', task, run, doneAt, notedAt, startedAgainAt: again.at, secondRun: again.run })
  }
  return violations
}

async function play ({ fleet, recorder, isTroubled }) {
  await sleep(3 * MS_PER_S)
  if (!await fleet.submit(`index/${JOB}`, { 'task-spec': 'x', steps: [STEP] })) throw new NotRun('the job was not accepted')
  while (clock.firstStartAt === undefined || performance.now() < clock.firstStartAt + WORK_MS - BEFORE_END_MS) {
    if (recorder.now > MAX_WAIT_MS) throw new NotRun('no task started')
    await sleep(20)
  }
  const index = fleet.agents.findIndex(({ name }) => name !== fleet.planner)
  const runs = fleet.workers.map(({ running }) => running.size)
  recorder.add('the tasks are about to end', { starts: recorder.list('start').length, runsByWorker: runs, planner: fleet.planner })
  if (runs[index] <= LISTED_ENDS) throw new NotRun('too few runs at the worker of the agent that does not plan')
  if (isTroubled) fleet.kill(fleet.agents[index], KILLED_MS)
  await sleep(WATCHED_MS)
  const violations = findSecondRuns(recorder)
  recorder.add('at the end', { state: await fleet.getState(`index/${JOB}`), tasks: STEP.count, starts: recorder.list('start').length, done: listDone(recorder).length, lapses: recorder.list('lease lapsed').length, tasksRunTwice: violations.length })
  for (const { event, at, ...fields } of recorder.events.filter(({ task }) => task === violations[0]?.task)) recorder.add(`the first of them: ${event}`, { at, ...fields })
  return violations.length === 0 ? [] : [{ ...violations[0], tasksRunTwice: violations.length }]
}

await runCase(dirname(fileURLToPath(import.meta.url)), () => ({ agents: 2, routes: { index: { priority: 2, 'target-latency-ms': 3_000 } }, describe, quiet: true }), play)
