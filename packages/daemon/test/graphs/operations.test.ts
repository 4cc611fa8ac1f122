/**
 * Follows the diagnosis steps of docs/OPERATIONS.md, from the id of a request to the cause of the problem, in the log of a simulated fleet.
 */
import { readFileSync } from 'node:fs'

import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { GraphSimulation, makeStep } from './graphSimulation.js'
import type { SimulatedJob } from './graphSimulation.js'

const WORKERS = 3
const START_MS = 3_000
const OPERATIONS_PAGE = readFileSync(new URL('../../../../../docs/OPERATIONS.md', import.meta.url), 'utf8')

interface Line {
  readonly process: string
  readonly msg: string
  readonly [field: string]: unknown
}

function makeJob (given: Partial<SimulatedJob> = {}): SimulatedJob {
  return { id: 'a'.repeat(16), priority: 1, durationMs: 4_000, failures: 0, steps: [makeStep()], ...given }
}

/** Runs a scenario in a simulation on a fake clock; returns the log lines of all processes, in order. */
async function recordLog (scenario: (simulation: GraphSimulation, clock: Clock) => Promise<void>): Promise<Line[]> {
  const clock = FakeTimers.install({ now: 1_700_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  const simulation = new GraphSimulation(WORKERS, { isRecordingLog: true })
  try {
    await clock.tickAsync(START_MS)
    await scenario(simulation, clock)
    return simulation.lines.map(line => JSON.parse(line.slice(line.indexOf('{'))) as Line)
  } finally {
    simulation.close()
    await clock.tickAsync(2_000)
    clock.uninstall()
  }
}

/** Returns the lines that contain the id of a job, as a text search finds them. */
function findLines (lines: readonly Line[], id: string): Line[] {
  return lines.filter(line => JSON.stringify(line).includes(id))
}

/** Asserts that the messages occur in this order, and that docs/OPERATIONS.md names each of them. */
function assertMessageOrder (t: ExecutionContext, lines: readonly Line[], trail: readonly string[]): void {
  const messages = lines.map(line => line.msg.replace(/^[a-z]+: /, ''))
  let from = 0
  for (const message of trail) {
    const at = messages.indexOf(message, from)
    t.true(at >= 0, `${message} after ${messages.slice(0, from).at(-1) ?? 'the start'}`)
    t.true(OPERATIONS_PAGE.includes(`\`${message}`) || OPERATIONS_PAGE.includes(`: ${message}\``), `docs/OPERATIONS.md must name "${message}"`)
    from = at + 1
  }
}

test.serial('when a request is refused, the entry logs that the store is unavailable', async t => {
  const job = makeJob()
  const lines = await recordLog(async (simulation, clock) => {
    simulation.setStoreDown(true)
    void simulation.submit(job)
    await clock.tickAsync(2_000)
  })
  const own = findLines(lines, job.id)
  assertMessageOrder(t, own, ['submission answered'])
  t.like(own[0], { process: 'entry', answer: { kind: 'refused', reason: 'storeAway' } })
})

test.serial('when a request is late because the planner failed before its submission, the log shows that the next planner took the job up', async t => {
  const job = makeJob()
  const lines = await recordLog(async (simulation, clock) => {
    simulation.restartNode(simulation.findPlanner(), 30_000)
    void simulation.submit(job)
    await clock.tickAsync(20_000)
  })
  assertMessageOrder(t, findLines(lines, job.id), ['submission answered', 'job taken up', 'run assigned', 'run begun', 'run ended', 'job ended'])
  assertMessageOrder(t, lines, ['leadership acquired', 'submission answered', 'leadership acquired', 'job taken up'])
  t.true(Number(findLines(lines, job.id).find(line => line.msg.endsWith('job taken up'))?.['ageMs']) > 1_000)
})

test.serial('when a request ran again because its worker went silent, the log shows that the first run was declared lost', async t => {
  const job = makeJob({ durationMs: 12_000 })
  const lines = await recordLog(async (simulation, clock) => {
    void simulation.submit(job)
    await clock.tickAsync(2_000)
    const worker = Array.from({ length: WORKERS }, (_, index) => index).find(index => simulation.getWorker(index).runCount > 0) ?? 0
    simulation.getNode(worker).setFrozen(true)
    await clock.tickAsync(60_000)
  })
  assertMessageOrder(t, lines, ['run begun', 'run lost', 'run assigned', 'run begun', 'run ended', 'job ended'])
  const lost = findLines(lines, job.id).find(line => line.msg.endsWith('run lost'))
  t.regex(String(lost?.['reason']), /silent/)
  t.truthy(lines.find(line => line.msg.endsWith('worker silent') && line['worker'] === lost?.['worker']))
})

test.serial('when a request failed, the log names the worker of each failed run and the task that failed the job', async t => {
  const job = makeJob({ failures: Infinity })
  const lines = await recordLog(async (simulation, clock) => {
    void simulation.submit(job)
    await clock.tickAsync(30_000)
  })
  const own = findLines(lines, job.id)
  assertMessageOrder(t, own, ['job taken up', 'run ended', 'run ended', 'run ended', 'job ended'])
  t.is(own.filter(line => line['how'] === 'failed' && typeof line['worker'] === 'string').length, 3)
  t.like(own.find(line => line.msg.endsWith('job ended')), { phase: 'failed', reason: `${job.id}.0.0.0 failed 3 times` })
})

test.serial('when a job failed because workers crashed under a task, the log names the runs, the workers and the task', async t => {
  const job = makeJob({ crashingTasks: ['0.0.0'] })
  const lines = await recordLog(async (simulation, clock) => {
    void simulation.submit(job)
    await clock.tickAsync(40_000)
  })
  const own = findLines(lines, job.id)
  assertMessageOrder(t, own, ['job taken up', 'worker crashed right after runs had started; reporting them to the planner', 'worker crashed under a task', 'worker crashed under a task', 'job ended'])
  t.true(own.filter(line => line.msg.endsWith('worker crashed under a task')).every(line => typeof line['address'] === 'string'))
  t.like(own.find(line => line.msg.endsWith('job ended')), { phase: 'failed', reason: `${job.id}.0.0.0 crashed 3 workers` })
})
