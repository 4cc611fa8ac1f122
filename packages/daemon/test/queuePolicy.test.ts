import { FairQueue } from '@dragonflylever/core'
import { createSampleDeclarations } from '@dragonflylever/standins'
import { Blackboard } from '@dragonflylever/runtime'
import test from 'ava'

import { createInitialFleetState } from '../src/shared/fleetState.js'
import { createRequestPolicy, syncQueuePolicy } from '../src/shared/requestPolicy.js'

test('the policy of request queues has the targets in milliseconds and leaves out job classes', t => {
  const policy = createRequestPolicy(createSampleDeclarations())
  t.deepEqual(policy.classes.get('care-match'), { startWithinMs: 2_000, finishWithinMs: 5_000 })
  t.deepEqual(policy.classes.get('reconciliation'), { startWithinMs: undefined, finishWithinMs: 60_000 })
  t.false(policy.classes.has('recipe-run'))
  t.is(policy.guarantees.get('kelp-works'), 16)
})

test('a queue uses the policy of each configuration that comes into force', t => {
  const board = new Blackboard(createInitialFleetState())
  const queue = new FairQueue({ maxWaiting: 10, slots: 40, fleetSlots: 80 })
  syncQueuePolicy(board, queue)
  const declarations = createSampleDeclarations()
  board.set('configuration', { revision: 1, declarations, acceptedAt: 0, nonce: 'one', acceptedBy: 'test' })
  queue.offer({ id: 'a', className: 'care-match', organisation: 'canteens', caller: 'x', arrivedAt: 0, deadlineAt: 1_000 }, 0)
  t.is(queue.describe().groups.find(group => group.organisation === 'canteens')?.guaranteedSlots, 4)
})
