/**
 * Guards against the cause of review case 13 in the loading of jobs: any number of records was applied in one stretch on the thread that renews the leadership.
 */
import { SlicedTasks } from '@dragonflylever/runtime'
import test from 'ava'
import type { ExecutionContext } from 'ava'

const TASK_MS = 5
const TASKS = 100
/** Time for which the thread may be away, in milliseconds. */
const MAX_AWAY_MS = 50

/** Replaces the monotonic clock by one that the test advances. */
function installClock (t: ExecutionContext): { nowMs: number } {
  const clock = { nowMs: 0 }
  const { now } = performance
  performance.now = () => clock.nowMs
  t.teardown(() => { performance.now = now })
  return clock
}

test.serial('many tasks run in their order, and the thread is released after some milliseconds of work', async t => {
  const clock = installClock(t)
  const tasks = new SlicedTasks()
  const done: number[] = []
  let releasedAt = 0
  let longestMs = 0
  tasks.add(Array.from({ length: TASKS }, (_, index) => () => {
    clock.nowMs += TASK_MS
    done.push(index)
    longestMs = Math.max(longestMs, clock.nowMs - releasedAt)
  }))
  t.true(tasks.size > 0, 'the first stretch does not run all tasks')
  while (tasks.size > 0) {
    releasedAt = clock.nowMs
    await new Promise(resolve => setTimeout(resolve, 0))
  }
  t.deepEqual(done, Array.from({ length: TASKS }, (_, index) => index))
  t.true(longestMs <= MAX_AWAY_MS)
})

test.serial('tasks that are added while others wait run after them, and none runs once the queue is closed', async t => {
  const clock = installClock(t)
  const tasks = new SlicedTasks()
  const done: string[] = []
  const makeTask = (name: string) => () => {
    clock.nowMs += MAX_AWAY_MS
    done.push(name)
  }
  tasks.add([makeTask('a'), makeTask('b')])
  tasks.add([makeTask('c'), makeTask('d')])
  t.deepEqual(done, ['a'])
  while (done.length < 3) await new Promise(resolve => setTimeout(resolve, 0))
  tasks.close()
  await new Promise(resolve => setTimeout(resolve, 5))
  t.deepEqual(done, ['a', 'b', 'c'])
})
