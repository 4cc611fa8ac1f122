/**
 * Metrics in the Prometheus text format.
 */
import { PromMetrics } from '@dragonflylever/runtime/promMetrics'
import { HttpClient } from '@dragonflylever/runtime'
import test from 'ava'

test('counters, gauges and histograms are served as text with their labels', async t => {
  const metrics = await PromMetrics.open('127.0.0.1:0', '/metrics')
  const client = new HttpClient({ maxConnections: 1, maxAnswerBytes: 100_000 })
  t.teardown(async () => {
    client.close()
    await metrics.close()
  })
  metrics.count('answers', 2, { outcome: 'accepted' })
  metrics.gauge('jobs_active', 7)
  metrics.time('call_ms', 30, { method: 'POST' })
  const answer = await client.call({ address: metrics.address, method: 'GET', path: '/metrics', timeoutMs: 1_000 })
  t.is(answer.kind, 'answered')
  if (answer.kind !== 'answered') return
  t.regex(answer.body, /dragonflylever_answers_total\{outcome="accepted"\} 2/)
  t.regex(answer.body, /dragonflylever_jobs_active 7/)
  t.regex(answer.body, /dragonflylever_call_ms_bucket\{le="50",method="POST"\} 1/)
  t.like(await client.call({ address: metrics.address, method: 'GET', path: '/other', timeoutMs: 1_000 }), { status: 404 })
})
