/**
 * How soon a process notices that the store serves it again. Guards against a return that is noticed only when a probe from before it has timed out, and against
 * calls from before the return that mark the path as failing when they time out after it.
 */
import { DirectPath } from '@dragonflylever/daemon/storeRelay/directPath'
import { createLogger } from '@dragonflylever/runtime'
import type { HttpCall, HttpCaller, HttpOutcome } from '@dragonflylever/runtime'
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

const CALL: HttpCall = { address: 'store', method: 'GET', path: '/x', timeoutMs: 500 }
const LATENCY_MS = 30
const PROBE_INTERVAL_MS = 100

/** Leaves calls unanswered that are made while it is silent, also after it has ended. */
class SilentCaller implements HttpCaller {
  isSilent = false
  calls = 0

  async call (call: HttpCall): Promise<HttpOutcome> {
    this.calls++
    const isLost = this.isSilent
    await new Promise(resolve => setTimeout(resolve, isLost ? call.timeoutMs : LATENCY_MS))
    return isLost ? { kind: 'lost', message: 'no answer' } : { kind: 'answered', status: 200, headers: {}, body: '' }
  }

  close (): void {}
}

function createFixture (t: ExecutionContext): { readonly clock: Clock, readonly caller: SilentCaller, readonly path: DirectPath, readonly servedAgain: number[] } {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  const caller = new SilentCaller()
  const servedAgain: number[] = []
  const path = new DirectPath({
    caller,
    probe: { address: 'store', path: '/probe' },
    probeIntervalMs: PROBE_INTERVAL_MS,
    onServedAgain: elapsedMs => servedAgain.push(elapsedMs),
    logger: createLogger({ level: 'silent', processId: 't' })
  })
  t.teardown(() => {
    path.close()
    clock.uninstall()
  })
  return { clock, caller, path, servedAgain }
}

test.serial('the return of the store is noticed within a probe interval and an answer, although earlier probes are still unanswered', async t => {
  const { clock, caller, path, servedAgain } = createFixture(t)
  caller.isSilent = true
  void path.call(CALL)
  await clock.tickAsync(1_790)
  t.true(path.isFailing)
  caller.isSilent = false
  await clock.tickAsync(PROBE_INTERVAL_MS + LATENCY_MS)
  t.false(path.isFailing)
  t.deepEqual(servedAgain, [LATENCY_MS])
  const { calls } = caller
  await clock.tickAsync(2_000)
  t.false(path.isFailing, 'the probes from before the return time out after it')
  t.is(caller.calls, calls, 'a path that is served is not probed')
})

test.serial('a call from before the return that times out after it does not mark the path as failing', async t => {
  const { clock, caller, path } = createFixture(t)
  caller.isSilent = true
  for (let count = 0; count < 8; count++) {
    void path.call(CALL)
    await clock.tickAsync(100)
  }
  caller.isSilent = false
  await clock.tickAsync(PROBE_INTERVAL_MS + LATENCY_MS)
  for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 10) {
    t.false(path.isFailing, `${elapsedMs} ms after the return was noticed`)
    await clock.tickAsync(10)
  }
})
