/**
 * The speeds of runs that an agent measures from the lists of its worker.
 */
import type { RunListing } from '@dragonflylever/core/graphs/index'
import { RunSpeedMeter } from '@dragonflylever/daemon/jobAgent/runSpeedMeter'
import test from 'ava'
import fc from 'fast-check'

function makeListing (percent: number, run = 1): RunListing {
  return { task: 'j.0.0.0', run, checkpoint: '', percent, usage: 0 }
}

/** Applies lists of one run, given as pairs of clock and percent; returns the speed after the last. */
function measureRun (points: ReadonlyArray<readonly [number, number]>): number | undefined {
  const meter = new RunSpeedMeter()
  let speed: number | undefined
  for (const [clockMs, percent] of points) speed = meter.measure([makeListing(percent)], clockMs)[0]?.msPerPercent
  return speed
}

test('a run is measured between the first and the latest list that shows progress', t => {
  t.is(measureRun([[0, 0], [1_000, 20], [2_000, 53], [3_000, 86]]), 30.3)
})

test('a member of a gang that waits at 99 keeps its speed', t => {
  t.is(measureRun([[1_000, 20], [2_000, 53], [3_000, 99], [9_000, 99]]), 30.3)
})

test('nothing is measured before the error is small', t => {
  t.is(measureRun([[0, 0], [1_000, 40]]), undefined)
  t.is(measureRun([[0, 0], [200, 40], [400, 44]]), undefined)
})

test('a slow run is measured by the lists in which its percent has changed', t => {
  const points = Array.from({ length: 120 }, (_, second) => [second * 1_000, Math.floor(second / 36)] as const)
  t.true(Math.abs((measureRun(points) ?? 0) - 36_000) < 1_000)
})

test('a run that was slow at first is measured anew once it has recovered', t => {
  const points = [[1_000, 4], [2_000, 8], [3_000, 12], [4_000, 16], [5_000, 20], [6_000, 40], [7_000, 60], [8_000, 80]] as const
  t.is(measureRun(points), 50)
})

test('progress that was restored from a checkpoint is listed before the run works, and is no start of the measurement', t => {
  const meter = new RunSpeedMeter()
  const speeds = ([[1_000, 40], [5_000, 40], [6_000, 50], [7_000, 70]] as const).map(([clockMs, percent]) => meter.measure([{ ...makeListing(percent), checkpoint: 'c' }], clockMs)[0]?.msPerPercent)
  t.deepEqual(speeds, [undefined, undefined, undefined, 50])
})

test('runs are told apart by their numbers, and a run that was not listed is forgotten', t => {
  const meter = new RunSpeedMeter()
  for (const [clockMs, percent] of [[1_000, 20], [2_000, 53]] as const) meter.measure([makeListing(percent)], clockMs)
  t.is(meter.measure([makeListing(60, 2)], 3_000)[0]?.msPerPercent, undefined)
  t.is(meter.measure([makeListing(86)], 4_000)[0]?.msPerPercent, undefined)
})

test('a clock that stands still or goes back gives no speed', t => {
  t.is(measureRun([[1_000, 20], [1_000, 53], [900, 80]]), undefined)
})

test('the measured speed of a steady run is off by a fifth at most', t => {
  const args = [fc.double({ min: 2, max: 5_000, noNaN: true }), fc.integer({ min: 100, max: 2_000 }), fc.integer({ min: 0, max: 999 })] as const
  fc.assert(fc.property(...args, (msPerPercent, intervalMs, phaseMs) => {
    const meter = new RunSpeedMeter()
    for (let clockMs = phaseMs; clockMs / msPerPercent < 100; clockMs += intervalMs) {
      const [listing] = meter.measure([makeListing(Math.min(99, Math.floor(clockMs / msPerPercent)))], clockMs)
      const speed = listing?.msPerPercent
      if (speed !== undefined && Math.abs(speed / msPerPercent - 1) > 0.26) return false
    }
    return true
  }), { seed: 7 })
  t.pass()
})
