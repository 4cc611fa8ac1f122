import test from 'ava'

import { FleetRouter, SeededRandom } from '../../src/index.js'
import type { AttemptReport, Candidate, RoutedRequest } from '../../src/index.js'

const SLOTS = 8

function createRouter (seed = 1, linkBytesPerSecond = 1_000_000): FleetRouter {
  return new FleetRouter({ region: 'near', random: new SeededRandom(seed), linkBytesPerSecond })
}

function makeCandidate (agentId: string, fields: Partial<Candidate> = {}): Candidate {
  return { agentId, region: 'near', failureDomain: 'a', slots: SLOTS, reportedLoad: 0, inFlight: 0, maxInFlight: 48, ...fields }
}

function makeRequest (fields: Partial<RoutedRequest> = {}): RoutedRequest {
  return { className: 'care', organisation: 'alpha', deadlineAt: 10_000, tried: new Set(), bodyBytes: 1_000, ...fields }
}

function makeReport (agentId: string, kind: AttemptReport['kind'], latencyMs = 1): AttemptReport {
  return { agentId, className: 'care', kind, latencyMs }
}

function countPicks (router: FleetRouter, candidates: readonly Candidate[], picks: number, now = 0): Map<string, number> {
  const counts = new Map<string, number>()
  for (let index = 0; index < picks; index++) {
    const id = router.pick(makeRequest(), candidates, now)?.agentId ?? 'none'
    counts.set(id, (counts.get(id) ?? 0) + 1)
  }
  return counts
}

test('requests stay in the region while it has capacity', t => {
  const counts = countPicks(createRouter(), [makeCandidate('near-1', { inFlight: 7 }), makeCandidate('far-1', { region: 'far' })], 100)
  t.deepEqual([...counts], [['near-1', 100]])
})

test('requests of a full region go to another region only within the byte budget of the link', t => {
  const candidates = [makeCandidate('near-1', { inFlight: 20 }), makeCandidate('far-1', { region: 'far' })]
  const counts = countPicks(createRouter(1, 4_000), candidates, 10)
  t.is(counts.get('far-1'), 1)
  t.is(counts.get('near-1'), 9)
})

test('a request that would miss its deadline in another region stays in its region', t => {
  const candidates = [makeCandidate('near-1', { inFlight: 20 }), makeCandidate('far-1', { region: 'far' })]
  t.is(createRouter().pick(makeRequest({ deadlineAt: 50 }), candidates, 0)?.agentId, 'near-1')
})

test('a fast-failing agent is ejected until it has passed a probation of one request at a time', t => {
  const router = createRouter()
  for (let index = 0; index < 8; index++) {
    router.report(makeReport('bad', 'failedFast'), 0)
    router.report(makeReport('good', 'answered', 100), 0)
  }
  const candidates = [makeCandidate('bad'), makeCandidate('good', { reportedLoad: 7 })]
  t.is(countPicks(router, candidates, 50).get('bad'), undefined)
  t.true((countPicks(router, candidates, 50, 5_000).get('bad') ?? 0) > 0)
  t.is(countPicks(router, [makeCandidate('bad', { inFlight: 1 }), makeCandidate('good')], 50, 5_000).get('bad'), undefined)
  for (let index = 0; index < 5; index++) router.report(makeReport('bad', 'answered', 100), 5_000)
  t.true((countPicks(router, [makeCandidate('bad', { inFlight: 1 }), makeCandidate('good', { inFlight: 1 })], 50, 5_000).get('bad') ?? 0) > 0)
})

test('no agent is ejected when all fail equally', t => {
  const router = createRouter()
  for (let index = 0; index < 20; index++) for (const id of ['one', 'two', 'three']) router.report(makeReport(id, 'failedFast'), 0)
  t.is(countPicks(router, ['one', 'two', 'three'].map(id => makeCandidate(id)), 300).size, 3)
})

test('when one agent is idle, not all entries pick this agent', t => {
  const candidates = ['a', 'b', 'c', 'd', 'e'].map((id, index) => makeCandidate(id, { reportedLoad: index === 0 ? 0 : 2 }))
  const picks = Array.from({ length: 200 }, (_, seed) => createRouter(seed + 1).pick(makeRequest(), candidates, 0)?.agentId)
  const idlePicks = picks.filter(id => id === 'a').length
  t.true(idlePicks < 120, `${idlePicks} of 200 entries picked the idle agent`)
})

test('the estimated load of other entries decays when no answer carries a new report', t => {
  const router = createRouter()
  router.setRegionLimits(2, 1_000_000)
  const candidates = [makeCandidate('near-1', { reportedLoad: 44, inFlight: 4 }), makeCandidate('far-1', { region: 'far' })]
  t.is(router.pick(makeRequest(), candidates, 0)?.agentId, 'far-1')
  t.is(router.pick(makeRequest(), candidates, 3_000)?.agentId, 'near-1')
})

test('an entry may send requests up to its equal share of the slots to an agent whose slots are filled by other entries', t => {
  const router = createRouter()
  router.setRegionLimits(2, 1_000_000)
  t.true(router.hasRoom([makeCandidate('near-1', { reportedLoad: 11, inFlight: 3 })], 0))
  t.false(router.hasRoom([makeCandidate('near-1', { reportedLoad: 12, inFlight: 4 })], 0))
  t.false(router.hasRoom([makeCandidate('far-1', { reportedLoad: 11, inFlight: 3, region: 'far' })], 0))
})
