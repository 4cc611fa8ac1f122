/**
 * What the planner learns of workers' speeds from the reports of agents.
 */
import { EqualSpeeds } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { PlannerHarness, makeStep } from './plannerHarness.js'

/** Runs gangs of one task at each worker; the workers need the given milliseconds per percent. */
function runGangs (harness: PlannerHarness, speeds: readonly number[], count: number): void {
  for (let gang = 0; gang < count; gang++) {
    const job = `j${gang}at${harness.now}`
    harness.addJob(job, [makeStep({ count: speeds.length, accelerators: 8, isGang: true })])
    harness.run(300)
    for (let index = 0; index < speeds.length; index++) {
      const task = `${job}.0.0.${index}`
      harness.setSpeed(task, speeds[harness.workers.findIndex(worker => worker === harness.findWorker(task))] ?? 100)
    }
    harness.run(300)
    for (let index = 0; index < speeds.length; index++) harness.endRun(`${job}.0.0.${index}`, 'done')
    harness.run(11_000, 1_000)
  }
}

const SPEEDS = [63, 63, 100, 100, 160, 160]

test('the planner learns from reports that workers differ in speed', t => {
  const harness = new PlannerHarness([6])
  runGangs(harness, SPEEDS, 6)
  const { speeds } = harness.planner
  t.true(speeds.hasDifferences)
  for (const [index, worker] of harness.workers.entries()) t.true(Math.abs(Math.log(speeds.getFactor(worker.id, harness.now) / ((SPEEDS[index] ?? 0) / 100))) < 0.1)
})

test('a restarted worker keeps little of its factor before it has run anything', t => {
  const harness = new PlannerHarness([6])
  runGangs(harness, SPEEDS, 6)
  const slow = harness.workers[5]
  if (slow === undefined) throw new Error('there are six workers')
  slow.born++
  harness.run(200)
  const factor = harness.planner.speeds.getFactor(slow.id, harness.now)
  t.true(factor > 1 && factor < 1.26, `${factor}`)
})

test('the speeds on which decisions rest can be replaced', t => {
  const speeds = new EqualSpeeds()
  t.is(new PlannerHarness([1], { speeds }).planner.speeds, speeds)
})
