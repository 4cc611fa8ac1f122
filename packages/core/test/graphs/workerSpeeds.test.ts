/**
 * Speeds of workers: fitted factors against the true ones of a replayed load, and what must not change a factor.
 */
import { RunPhase, WorkerSpeeds, WorkerState, createRun } from '@dragonflylever/core/graphs/index'
import type { RunState, StepSpec, WorkerReport } from '@dragonflylever/core/graphs/index'
import test from 'ava'
import fc from 'fast-check'

import { SPEED_LOAD, SpeedLoad, makeStepState } from './speedLoad.js'
import type { SpeedLoadOptions } from './speedLoad.js'

/** Largest root mean square error of the factors' logarithms: well below the 0.38 of workers that are taken for alike, and the 0.15 from which they differ. */
const MAX_ERROR = 0.1

function runLoad (options: Partial<SpeedLoadOptions>, ms: number): SpeedLoad {
  const load = new SpeedLoad({ ...SPEED_LOAD, ...options })
  load.run(ms)
  return load
}

function computeRootMeanSquare (errors: readonly number[]): number {
  return Math.sqrt(errors.reduce((sum, error) => sum + error ** 2, 0) / errors.length)
}

/** Speeds fed by hand: each call of `record` reports the milliseconds per percent of a step at some workers, by worker id. */
class SpeedFixture {
  now = 0
  readonly notes: string[] = []
  readonly born = new Map<string, number>()
  readonly speeds = new WorkerSpeeds({ log: { note: event => { this.notes.push(event) } }, getWorker: key => this._makeWorker(key.id) })
  private _count = 0

  record (speeds: Readonly<Record<string, number>>, spec: Partial<StepSpec> = {}, change: (run: RunState) => void = () => {}): void {
    const step = makeStepState(`j${this._count++}`, { count: Object.keys(speeds).length, isGang: true, ...spec })
    const runs = Object.keys(speeds).map((id, index) => {
      const task = step.tasks[index]
      if (task === undefined) throw new Error('the step has too few tasks')
      const run = createRun(task, 1, { id, born: this.born.get(id) ?? 1, address: id }, 1, this.now, undefined)
      task.runs.push(run)
      change(run)
      return run
    })
    for (const run of runs) this.speeds.recordProgress(run, speeds[run.worker.id] ?? 0, this.now)
  }

  /** Reports a step a few times, at times that lie apart. */
  recordOften (speeds: Readonly<Record<string, number>>, spec: Partial<StepSpec> = {}): void {
    for (let count = 0; count < 6; count++, this.now += 10_000) this.record(speeds, spec)
  }

  getFactor (id: string): number {
    return this.speeds.getFactor(id, this.now + 10_000)
  }

  /** The rack of a worker is the first letter of its id. */
  private _makeWorker (id: string): WorkerState {
    const worker = new WorkerState({ id, born: 1, address: id }, Infinity)
    worker.report = { rack: id.slice(0, 1) } as WorkerReport
    return worker
  }
}

const MIXED = { a1: 63, a2: 63, a3: 100, a4: 100, a5: 160, a6: 160 }

test('with workers of any speeds, slowdowns and long tasks, the fitted factors come close to the true ones', t => {
  const factors = fc.array(fc.double({ min: 0.5, max: 2, noNaN: true }), { minLength: 2, maxLength: 6 })
  fc.assert(fc.property(fc.nat(), fc.integer({ min: 12, max: 80 }), factors, fc.double({ min: 0, max: 0.06, noNaN: true }), (seed, workers, factors, memberDeviation) => {
    const error = computeRootMeanSquare(runLoad({ seed, workers, factors, memberDeviation, gangsPerSecond: workers / 60 }, 300_000).computeErrors())
    return error < MAX_ERROR
  }), { numRuns: 10, seed: 3 })
  t.pass()
})

test('sixty workers that share a gang a second are told apart within a minute', t => {
  for (const seed of [1, 2, 3]) {
    const load = runLoad({ seed }, 60_000)
    t.true(load.speeds.hasDifferences)
    const isRight = load.computeErrors().filter(error => Math.abs(error) < 0.2).length
    t.true(isRight >= 50, `${isRight} factors of 60 are right`)
  }
})

test('workers that differ by a quarter are told apart', t => {
  const load = runLoad({ factors: [0.8, 1, 1.25] }, 120_000)
  t.true(load.speeds.hasDifferences)
  t.true(computeRootMeanSquare(load.computeErrors()) < MAX_ERROR)
})

test('similar workers are never taken to differ, whatever slowdowns and long tasks there are', t => {
  fc.assert(fc.property(fc.nat(), fc.integer({ min: 6, max: 80 }), fc.double({ min: 0, max: 0.1, noNaN: true }), (seed, workers, memberDeviation) => {
    const load = new SpeedLoad({ ...SPEED_LOAD, seed, workers, factors: [1], memberDeviation, slowdownIntervalMs: 60_000, gangsPerSecond: workers / 60 })
    let hadDifferences = false
    load.run(120_000, () => { hadDifferences ||= load.speeds.hasDifferences })
    return !hadDifferences
  }), { numRuns: 25, seed: 5 })
  t.pass()
})

test('a slowdown by 4 to 8 times for some seconds does not become the factor of a worker', t => {
  for (const slowdown of [4, 8]) {
    const fixture = new SpeedFixture()
    fixture.recordOften(MIXED)
    const before = fixture.getFactor('a3')
    for (let count = 0; count < 4; count++, fixture.now += 2_000) fixture.record({ ...MIXED, a3: MIXED.a3 * slowdown })
    t.true(Math.abs(Math.log(fixture.getFactor('a3') / before)) < 0.1, `${before} became ${fixture.getFactor('a3')}`)
  }
})

test('a run that is slowed down on the way counts with its speed before that', t => {
  const fixture = new SpeedFixture()
  const runs: RunState[] = []
  for (let count = 0; count < 6; count++, fixture.now += 10_000) {
    fixture.record(MIXED, {}, run => { if (run.worker.id === 'a3') runs.push(run) })
    const run = runs.at(-1)
    if (run !== undefined) fixture.speeds.recordProgress(run, 200, fixture.now)
  }
  t.true(Math.abs(Math.log(fixture.getFactor('a3') / fixture.getFactor('a4'))) < 0.05)
})

test('a worker that stays slower gets a new factor', t => {
  const fixture = new SpeedFixture()
  fixture.recordOften(MIXED)
  for (let count = 0; count < 3; count++) fixture.recordOften({ ...MIXED, a3: 200 })
  t.true(Math.abs(Math.log(fixture.getFactor('a3') / fixture.getFactor('a4')) - Math.log(2)) < 0.1)
})

test('factors do not move while gangs run on workers of one kind only', t => {
  const load = runLoad({ sortedFrom: 60_000, gangsPerSecond: 4, longShare: 0, slowdownIntervalMs: Infinity }, 600_000)
  t.true(load.speeds.hasDifferences)
  t.true(computeRootMeanSquare(load.computeErrors()) < MAX_ERROR)
})

test('runs far from their data, across racks or from a checkpoint are not compared with others', t => {
  const conditions: Array<readonly [Partial<StepSpec>, (run: RunState) => void]> = [
    [{ dataRack: 'a', isGang: false }, () => {}],
    [{ isSameRack: true }, run => { if (run.worker.id === 'b1') run.task.runs.length = 0 }],
    [{ isGang: false }, run => { if (run.worker.id === 'b1') Object.assign(run, { startCheckpoint: 'c' }) }]
  ]
  for (const [spec, change] of conditions) {
    const fixture = new SpeedFixture()
    fixture.recordOften({ ...MIXED, b1: 100 })
    for (let count = 0; count < 10; count++, fixture.now += 10_000) fixture.record({ a3: 100, a4: 100, b1: 300 }, spec, change)
    t.true(Math.abs(Math.log(fixture.getFactor('b1') / fixture.getFactor('a3'))) < 0.1, `${fixture.getFactor('b1')}`)
  }
})

test('steps at a single worker, throttled or cold runs and tasks that last or fill say nothing of a worker', t => {
  const specs: Array<readonly [Partial<StepSpec>, (run: RunState) => void]> = [
    [{}, run => { run.pace = 50 }],
    [{}, run => { run.wasCold = true }],
    [{ isLongRunning: true }, () => {}],
    [{ isFilling: true }, () => {}],
    [{}, run => { run.phase = RunPhase.stopping }]
  ]
  const fixture = new SpeedFixture()
  fixture.recordOften(MIXED)
  const before = fixture.getFactor('a3')
  for (let count = 0; count < 20; count++) fixture.recordOften({ a3: 500 }, { count: 4 })
  for (const [spec, change] of specs) for (let count = 0; count < 20; count++, fixture.now += 10_000) fixture.record({ ...MIXED, a3: 500 }, spec, change)
  t.is(fixture.getFactor('a3'), before)
})

test('a new incarnation keeps little of the factor, and reports on the earlier one are ignored', t => {
  const fixture = new SpeedFixture()
  fixture.recordOften(MIXED)
  const before = fixture.getFactor('a5')
  fixture.speeds.addWorker({ id: 'a5', born: 2 })
  const after = fixture.getFactor('a5')
  t.true(after > 1 && Math.log(after) < Math.log(before) / 2, `${before} became ${after}`)
  const ratio = after / fixture.getFactor('a3')
  fixture.recordOften(MIXED)
  t.true(Math.abs(Math.log(fixture.getFactor('a5') / fixture.getFactor('a3') / ratio)) < 0.01)
  fixture.born.set('a5', 2)
  fixture.recordOften({ ...MIXED, a5: 63 })
  t.true(Math.abs(Math.log(fixture.getFactor('a5') / fixture.getFactor('a1'))) < 0.1)
})

test('differences and moved factors are logged, with at most one line a second', t => {
  const load = new SpeedLoad(SPEED_LOAD)
  for (let second = 0; second < 120; second++) {
    const before = load.notes.length
    load.run(1_000)
    t.true(load.notes.length <= before + 1)
  }
  t.is(load.notes.filter(event => event === 'worker speeds differ').length, 1)
  t.true(load.notes.includes('worker speed changed'))
})

test('what an earlier planner learned holds from the start, also while few workers have reported', t => {
  const [earlier, fixture] = [new SpeedFixture(), new SpeedFixture()]
  earlier.recordOften(MIXED)
  earlier.speeds.removeWorker({ id: 'a6', born: 1 })
  const record = earlier.speeds.encode(earlier.now)
  t.deepEqual(record.workers.map(({ id }) => id), ['a1', 'a2', 'a3', 'a4', 'a5'])
  fixture.speeds.restore({ ...record, workers: [...record.workers, { id: 'a6', born: 1, logFactor: Math.log(1.6), isConfirmed: true }] }, fixture.now)
  t.true(fixture.speeds.hasDifferences)
  t.true(Math.abs(Math.log(fixture.getFactor('a5')) - (record.workers[4]?.logFactor ?? 0)) < 0.01)
  fixture.record({ a1: 63, a2: 63 })
  t.true(fixture.speeds.hasDifferences)
  t.is(fixture.speeds.encode(fixture.now).workers.length, 6)
  fixture.recordOften(MIXED)
  t.true(fixture.speeds.hasDifferences)
  t.true(Math.abs(Math.log(fixture.getFactor('a5') / fixture.getFactor('a3') / 1.6)) < 0.1)
})

test('workers that an earlier planner measured and that never report are forgotten after a while', t => {
  const [earlier, fixture] = [new SpeedFixture(), new SpeedFixture()]
  earlier.recordOften(MIXED)
  fixture.speeds.restore(earlier.speeds.encode(earlier.now), fixture.now)
  t.is(fixture.speeds.encode(fixture.now + 599_000).workers.length, 6)
  t.is(fixture.speeds.encode(fixture.now + 601_000).workers.length, 0)
})

test('values that can be no speed are ignored', t => {
  const fixture = new SpeedFixture()
  fixture.recordOften(MIXED)
  const before = fixture.getFactor('a3')
  for (const value of [0, -1, NaN, Infinity]) fixture.recordOften({ ...MIXED, a3: value })
  t.true(Math.abs(Math.log(fixture.getFactor('a3') / before)) < 0.05)
})

test('a worker that was never measured is expected to be slower than the middle only while speeds differ, so that urgent work prefers known ones', t => {
  const fixture = new SpeedFixture()
  t.is(fixture.getFactor('z1'), 1)
  fixture.recordOften({ a1: 60, a2: 60, a3: 100, a4: 100, a5: 160, a6: 160 })
  t.true(fixture.speeds.hasDifferences)
  t.true(fixture.getFactor('z1') > fixture.getFactor('a3') * 1.1)
  t.true(fixture.getFactor('z1') < fixture.getFactor('a5'))
})
