import test from 'ava'
import fc from 'fast-check'

import { FairQueue } from '../../src/index.js'
import type { QueuedRequest, RequestPolicy } from '../../src/index.js'
import { findCallerQueue } from '../../src/fairness/callerQueues.js'
import { createClassNode, createGroup, createOrganisationNode } from '../../src/fairness/queueNodes.js'

const RUNS = { seed: 20261204, numRuns: 200 }
const CLASSES = ['care', 'check', 'ledger']
const ORGANISATIONS = ['alpha', 'beta', 'gamma']
const CALLERS = ['one', 'two', 'three', 'four']
const SLOTS = 8
const RUN_MS = 100

function createPolicy (guarantees: readonly number[] = [0, 0, 0]): RequestPolicy {
  return {
    classes: new Map([
      ['care', { startWithinMs: 2_000, finishWithinMs: 5_000 }],
      ['check', { startWithinMs: 4_000, finishWithinMs: 10_000 }],
      ['ledger', { startWithinMs: undefined, finishWithinMs: 60_000 }]
    ]),
    guarantees: new Map(ORGANISATIONS.map((name, index) => [name, guarantees[index] ?? 0]))
  }
}

function createQueue (policy = createPolicy(), maxWaiting = 256, slots = SLOTS): FairQueue {
  return new FairQueue({ maxWaiting, slots, fleetSlots: slots, policy })
}

let nextId = 0
function makeRequest (fields: Partial<QueuedRequest> = {}): QueuedRequest {
  const arrivedAt = fields.arrivedAt ?? 0
  return { id: `r${nextId++}`, className: 'ledger', organisation: 'alpha', caller: 'one', deadlineAt: arrivedAt + 60_000, ...fields, arrivedAt }
}

function offerMany (queue: FairQueue, count: number, fields: Partial<QueuedRequest>): void {
  for (let index = 0; index < count; index++) queue.offer(makeRequest(fields), fields.arrivedAt ?? 0)
}

const step = fc.record({
  offers: fc.array(fc.tuple(fc.constantFrom(...CLASSES), fc.constantFrom(...ORGANISATIONS), fc.constantFrom(...CALLERS)), { maxLength: 12 }),
  finished: fc.nat(SLOTS),
  ranMs: fc.integer({ min: 1, max: 20_000 })
})
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

/**
 * Runs `steps`; each step offers requests, finishes some running requests and takes requests until the queue returns none. `before` and
 * `after` are called around each take, `idle` at the end of each step.
 */
function runSteps (queue: FairQueue, steps: readonly Step[], check: { before?: () => unknown, after?: (taken: QueuedRequest, seen: unknown) => void, idle?: () => void }): void {
  const running: QueuedRequest[] = []
  let now = 0
  for (const { offers, finished, ranMs } of steps) {
    now += 50
    for (const [className, organisation, caller] of offers) queue.offer(makeRequest({ className, organisation, caller, arrivedAt: now, deadlineAt: now + 1e9 }), now)
    for (const request of running.splice(0, finished)) queue.finish(request, ranMs)
    for (;;) {
      const seen = check.before?.()
      const taken = queue.take(now)
      if (taken === undefined) break
      running.push(taken)
      check.after?.(taken, seen)
    }
    check.idle?.()
  }
}

test('no slot idles while requests wait, unless it is reserved for an urgent class', t => {
  fc.assert(fc.property(fc.array(step, { minLength: 10, maxLength: 40 }), steps => {
    const queue = createQueue()
    runSteps(queue, steps, {
      idle: () => {
        const { slots, running, waiting, heldBack } = queue.describe()
        const held = Object.values(heldBack).reduce((sum, count) => sum + count, 0)
        if (waiting > 0 && slots - running > held) throw new Error(`${slots - running} slots are idle, ${held} of them reserved, although ${waiting} requests wait`)
      }
    })
  }), RUNS)
  t.pass()
})

test('an organisation below its guarantee gets the next slot regardless of the load of others', t => {
  fc.assert(fc.property(fc.array(step, { minLength: 10, maxLength: 40 }), fc.tuple(fc.nat(4), fc.nat(4)), (steps, guarantees) => {
    const queue = createQueue(createPolicy(guarantees))
    const listEntitled = (): Set<string> => {
      const counts = new Map<string, { waiting: number, running: number, guaranteed: number }>()
      for (const group of queue.describe().groups) {
        const sum = counts.get(group.organisation) ?? { waiting: 0, running: 0, guaranteed: group.guaranteedSlots }
        counts.set(group.organisation, { ...sum, waiting: sum.waiting + group.waiting, running: sum.running + group.running })
      }
      return new Set([...counts].filter(([, count]) => count.waiting > 0 && count.running < count.guaranteed).map(([name]) => name))
    }
    runSteps(queue, steps, {
      before: listEntitled,
      after: (taken, seen) => {
        const entitled = seen as Set<string>
        if (entitled.size > 0 && !entitled.has(taken.organisation)) throw new Error(`${taken.organisation} was served first although these organisations were below their guarantees: ${[...entitled].join()}`)
      }
    })
  }), RUNS)
  t.pass()
})

test('a request of any class, organisation and caller starts within a bounded number of starts of other requests', t => {
  const key = fc.record({ className: fc.constantFrom(...CLASSES), organisation: fc.constantFrom(...ORGANISATIONS), caller: fc.constantFrom(...CALLERS) })
  fc.assert(fc.property(key, key, fc.integer({ min: 1, max: 2_000 }), fc.integer({ min: 1, max: 2_000 }), (lone, flooder, loneMs, floodMs) => {
    fc.pre(lone.className !== flooder.className || lone.organisation !== flooder.organisation || lone.caller !== flooder.caller)
    const queue = createQueue(createPolicy(), 4_096)
    offerMany(queue, 500, { ...flooder, deadlineAt: 1e9 })
    let now = 0
    const running: QueuedRequest[] = []
    for (let start = 0; start < 400; start++) {
      if (start === 100) offerMany(queue, 1, { ...lone, caller: `lone-${lone.caller}`, deadlineAt: 1e9, arrivedAt: now })
      const taken = queue.take(now)
      if (taken === undefined) {
        now += floodMs
        const done = running.shift()
        if (done !== undefined) queue.finish(done, done.caller.startsWith('lone') ? loneMs : floodMs)
        continue
      }
      if (taken.caller.startsWith('lone')) return
      running.push(taken)
    }
    throw new Error('the request of the caller with a single request never started')
  }), RUNS)
  t.pass()
})

test('the numbers of waiting requests and of groups stay bounded for any class, organisation and caller names', t => {
  const name = fc.oneof(fc.constantFrom(...CLASSES), fc.string({ maxLength: 8 }))
  fc.assert(fc.property(fc.array(fc.tuple(name, name, fc.string({ maxLength: 4 }), fc.boolean()), { minLength: 200, maxLength: 600 }), sent => {
    const queue = createQueue(createPolicy(), 64)
    for (const [className, organisation, caller, isCancelled] of sent) {
      const request = makeRequest({ className, organisation, caller })
      queue.offer(request, 0)
      if (isCancelled) queue.remove(request.id)
    }
    const { groups, waiting } = queue.describe()
    if (queue.size > 64 || waiting > 64) throw new Error(`${queue.size} requests wait in a queue limited to 64`)
    if (groups.length > (CLASSES.length + 1) * (ORGANISATIONS.length + 1)) throw new Error(`${groups.length} groups exist, more than declared classes and organisations allow`)
  }), RUNS)
  const group = createGroup(createClassNode('care', { startWithinMs: 1, finishWithinMs: 1 }), createOrganisationNode('alpha'))
  for (let index = 0; index < 5_000; index++) findCallerQueue(group, `caller-${index}`).running++
  t.true(group.callers.size <= 256 + 64)
})

test('an admitted request whose run time is as predicted finishes before its deadline', t => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 400 }), fc.integer({ min: 150, max: 5_000 }), fc.constantFrom(...CLASSES), (count, deadlineMs, className) => {
    const queue = createQueue(createPolicy(), 4_096)
    for (let index = 0; index < 20; index++) {
      queue.offer(makeRequest({ className }), 0)
      queue.finish(queue.take(0) as QueuedRequest, RUN_MS)
    }
    const isAdmitted = (): boolean => queue.offer(makeRequest({ className, deadlineAt: deadlineMs }), 0).kind === 'queued'
    const admitted = Array.from({ length: count }, isAdmitted).filter(Boolean).length
    let finished = 0
    for (let now = 0; now + RUN_MS <= deadlineMs; now += RUN_MS) {
      const taken: QueuedRequest[] = []
      for (let next = queue.take(now); next !== undefined; next = queue.take(now)) taken.push(next)
      for (const request of taken) queue.finish(request, RUN_MS)
      finished += taken.length
    }
    if (finished !== admitted) throw new Error(`${admitted} requests were admitted, but ${finished} finished before the deadline`)
    if (admitted < Math.min(count, 1)) throw new Error('the first request was refused although no slot was in use')
  }), RUNS)
  t.pass()
})

test('a full queue sheds a request of the caller with the most waiting requests', t => {
  const queue = createQueue(createPolicy(), 100)
  offerMany(queue, 100, { caller: 'branch' })
  const result = queue.offer(makeRequest({ caller: 'member' }), 0)
  t.is(result.kind === 'queued' ? result.shed.length : -1, 1)
  t.is(queue.size, 100)
  t.is(queue.offer(makeRequest({ caller: 'branch' }), 0).kind, 'refused')
})

test('cancelled and expired requests leave the queue at once', t => {
  const queue = createQueue()
  const cancelled = makeRequest()
  queue.offer(cancelled, 0)
  queue.offer(makeRequest({ deadlineAt: 500 }), 0)
  t.true(queue.remove(cancelled.id))
  t.false(queue.remove(cancelled.id))
  t.is(queue.expire(499).length, 0)
  t.is(queue.expire(500).length, 1)
  t.is(queue.size, 0)
})

test('a new policy takes effect without losing waiting or running requests', t => {
  const queue = createQueue()
  offerMany(queue, 20, { className: 'ledger' })
  const running = queue.take(0) as QueuedRequest
  queue.setPolicy({ classes: new Map([['care', { startWithinMs: 1_000, finishWithinMs: 2_000 }]]), guarantees: new Map([['alpha', 8]]) })
  t.is(queue.size, 19)
  t.is(queue.take(0)?.className, 'ledger')
  queue.finish(running, RUN_MS)
  t.is(queue.describe().running, 1)
  t.is(queue.describe().groups[0]?.guaranteedSlots, 8)
})

test('the retry-after of a refused request is based on the time by which the request would start or finish too late', t => {
  const queue = createQueue(createPolicy(), 4_096, 1)
  queue.offer(makeRequest({ className: 'care' }), 0)
  queue.finish(queue.take(0) as QueuedRequest, 1_000)
  offerMany(queue, 3, { className: 'care' })
  const refused = queue.offer(makeRequest({ className: 'care' }), 0)
  t.is(refused.kind, 'refused')
  t.true(refused.kind === 'refused' && refused.retryAfterMs >= 50 && refused.retryAfterMs <= 5_000)
})
