/**
 * Estimates of run times, against drawn run times with known errors of the declared ones.
 */
import { RunTimeEstimator } from '@dragonflylever/core/graphs/index'
import { LogHistogram } from '@dragonflylever/core/graphs/logHistogram'
import { SeededRandom } from '@dragonflylever/core/random'
import test from 'ava'
import fc from 'fast-check'

import { makeQueue } from './plannerHarness.js'
import { makeStepState } from './speedLoad.js'

function sampleNormal (random: SeededRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.sample())) * Math.cos(2 * Math.PI * random.sample())
}

/** How run times and declared times of a queue are drawn: standard deviations of logarithms, mean error of the declared time, and share of stragglers. */
interface DrawnQueue {
  readonly timeDeviation: number
  readonly declaredDeviation: number
  readonly declaredBias: number
  readonly longShare: number
}

/** Learns drawn run times; returns the logarithmic errors of the estimates, and the share of run times above the quantile 0.95. */
function measureErrors (seed: number, drawn: DrawnQueue): { readonly rms: number, readonly above: number } {
  const random = new SeededRandom(seed)
  const estimator = new RunTimeEstimator()
  const errors: number[] = []
  let above = 0
  for (let count = 0; count < 500; count++) {
    const usualMs = 5_000 * Math.exp(drawn.timeDeviation * sampleNormal(random))
    const step = makeStepState(`j${count}`, { estimatedMs: usualMs * Math.exp(drawn.declaredBias + drawn.declaredDeviation * sampleNormal(random)) })
    const ms = usualMs * (random.sample() < drawn.longShare ? 7 : 1)
    if (count >= 100) {
      errors.push(Math.log(estimator.estimateRunTime(step) / usualMs))
      if (ms > estimator.estimateQuantile(step, 0.95)) above++
    }
    estimator.learnRunTimes(step, [ms])
  }
  return { rms: Math.sqrt(errors.reduce((sum, error) => sum + error ** 2, 0) / errors.length), above: above / errors.length }
}

test('an estimate is about as good as the better of the declared time, freed from its mean error, and the queue\'s own history', t => {
  const deviation = fc.double({ min: 0.1, max: 0.9, noNaN: true })
  const drawn = fc.record({ timeDeviation: deviation, declaredDeviation: deviation, declaredBias: fc.double({ min: -0.9, max: 0.9, noNaN: true }), longShare: fc.constant(0.03) })
  fc.assert(fc.property(fc.nat(), drawn, (seed, queue) => {
    const { rms, above } = measureErrors(seed, queue)
    return rms < Math.min(queue.timeDeviation, queue.declaredDeviation) * 1.25 + 0.1 && above < 0.12
  }), { numRuns: 50, seed: 11 })
  t.pass()
})

test('before any observation, the declared time is the estimate, and quantiles lie around it', t => {
  const estimator = new RunTimeEstimator()
  const step = makeStepState('j', { estimatedMs: 3_000 })
  t.is(estimator.estimateRunTime(step), 3_000)
  t.true(Math.abs(estimator.estimateQuantile(step, 0.5) - 3_000) < 1)
  t.true(estimator.estimateQuantile(step, 0.95) > 4_000 && estimator.estimateQuantile(step, 0.05) < 2_250)
})

test('a quantile of a higher share is never lower, and is finite and positive', t => {
  const share = fc.double({ min: 0.001, max: 0.999, noNaN: true })
  const times = fc.array(fc.double({ min: 1, max: 1e9, noNaN: true }), { maxLength: 30 })
  fc.assert(fc.property(times, fc.double({ min: 0, max: 1e9, noNaN: true }), share, share, (timesMs, estimatedMs, one, other) => {
    const estimator = new RunTimeEstimator()
    const step = makeStepState('j', { estimatedMs })
    for (const ms of timesMs) estimator.learnRunTimes(step, [ms])
    const [low, high] = [Math.min(one, other), Math.max(one, other)].map(quantile => estimator.estimateQuantile(step, quantile))
    return low !== undefined && high !== undefined && low > 0 && high < Infinity && high >= low * (1 - 1e-9)
  }), { seed: 2 })
  t.pass()
})

test('few tasks that take seven times as long do not move the estimate', t => {
  const estimator = new RunTimeEstimator()
  const step = makeStepState('j', { estimatedMs: 3_000 })
  for (let count = 0; count < 100; count++) estimator.learnRunTimes(step, [count % 33 === 5 ? 21_000 : 3_000])
  t.true(Math.abs(estimator.estimateRunTime(step) / 3_000 - 1) < 0.1)
})

test('steps with other numbers of accelerators get estimates of their own once there are enough observations', t => {
  const estimator = new RunTimeEstimator()
  const random = new SeededRandom(1)
  const [small, large] = [1, 8].map(accelerators => () => makeStepState('j', { accelerators, estimatedMs: 10_000 * Math.exp(2 * sampleNormal(random)) }))
  if (small === undefined || large === undefined) throw new Error('there are two kinds of steps')
  for (let count = 0; count < 30; count++) {
    estimator.learnRunTimes(small(), [2_000])
    estimator.learnRunTimes(large(), [50_000])
  }
  t.true(Math.abs(Math.log(estimator.estimateRunTime(small()) / 2_000)) < 0.3)
  t.true(Math.abs(Math.log(estimator.estimateRunTime(large()) / 50_000)) < 0.3)
})

test('the members of a gang count as one observation together', t => {
  const estimator = new RunTimeEstimator()
  const step = makeStepState('j', { estimatedMs: 10_000 })
  estimator.learnRunTimes(step, Array.from({ length: 64 }, () => 1_000))
  t.true(estimator.estimateRunTime(step) > 3_000)
})

test('a queue can be restored from its record, and queues and records are bounded', t => {
  const estimator = new RunTimeEstimator()
  for (let count = 0; count < 1_200; count++) {
    const step = makeStepState('j', { accelerators: count % 40, estimatedMs: 5_000 })
    Object.assign(step.job.graph, { queue: makeQueue({ name: `q${count % 1_100}` }) })
    estimator.learnRunTimes(step, [2_000 + count])
  }
  const records = estimator.encode()
  t.is(records.length, 1_024)
  const restored = new RunTimeEstimator()
  restored.restore(records)
  t.deepEqual(restored.encode(), records)
})

test('quantiles of a histogram are close to those of its values, which it holds in few bins', t => {
  fc.assert(fc.property(fc.array(fc.double({ min: 10, max: 1_000, noNaN: true }), { minLength: 1, maxLength: 60 }), fc.double({ min: 0.05, max: 0.95, noNaN: true }), (values, share) => {
    const histogram = new LogHistogram()
    for (const value of values) histogram.add(value, 1)
    const sorted = [...values].sort((a, b) => a - b)
    const [below, above] = [sorted[Math.floor(share * values.length) - 1] ?? 0, sorted[Math.floor(share * values.length) + 1] ?? Infinity]
    const quantile = Math.exp(histogram.getLogQuantile(share))
    return quantile > below * 0.9 && quantile < above * 1.11
  }), { seed: 4 })
  const wide = new LogHistogram()
  for (let exponent = 0; exponent < 200; exponent++) wide.add(1.3 ** exponent, 1)
  t.true(wide.encode().levels.filter(level => level > 0).length <= 48)
})
