/**
 * Tests an agent's estimates of a worker's clock and lease.
 */
import { WorkerClock } from '@dragonflylever/daemon/jobAgent/workerClock'
import test from 'ava'

const LEASE_MS = 6_000

test('the estimated clock of a worker that started long after its agent is never ahead of the worker\'s clock', t => {
  const clock = new WorkerClock(300, LEASE_MS, 100_000)
  t.is(clock.estimateClock(100_000), 300)
  t.true(clock.estimateClock(101_000) <= 1_300)
})

test('a reading below the estimate is ignored, since answers may arrive out of order', t => {
  const clock = new WorkerClock(300, LEASE_MS, 100_000)
  clock.applyReading(1_300, 101_000)
  clock.applyReading(900, 101_010)
  t.true(clock.estimateClock(101_010) >= 1_300)
})
