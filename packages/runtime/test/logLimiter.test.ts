/**
 * Checks that log lines are limited per kind and second, and that suppressed lines are counted.
 */
import { LogLimiter } from '@dragonflylever/runtime'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'

test('lines of one kind are limited per second, and the next admitted line gets the number of suppressed ones', t => {
  const clock = FakeTimers.install({ toFake: ['performance'] })
  t.teardown(() => clock.uninstall())
  const limiter = new LogLimiter()
  const admitted = Array.from({ length: 50 }, () => limiter.admit('refused')).filter(count => count !== undefined)
  t.is(admitted.length, 20)
  t.is(limiter.admit('other'), 0)
  clock.tick(1_000)
  t.is(limiter.admit('refused'), 30)
  t.is(limiter.admit('refused'), 0)
})
