/**
 * The store of measured speeds: its bounds.
 */
import { SpeedSamples } from '@dragonflylever/core/graphs/speedSamples'
import test from 'ava'

test('the steps that were not changed for the longest time are dropped, and workers without samples are named', t => {
  const dropped: string[] = []
  const samples = new SpeedSamples<{ id: string, born: number, sampleCount: number }>(({ id }) => { dropped.push(id) })
  const [first, other] = [{ id: 'a', born: 1, sampleCount: 0 }, { id: 'b', born: 1, sampleCount: 0 }]
  samples.record('old', first, '0/1', 100, 0)
  samples.record('kept', other, '0/1', 100, 0)
  samples.record('kept', first, '1/1', 100, 0)
  samples.record('old', first, '0/1', 100, 0)
  samples.dropOldest(1)
  t.is(samples.count, 1)
  t.deepEqual(dropped, ['b'])
  samples.dropOldest(0)
  t.deepEqual(dropped, ['b', 'a'])
})

test('a step keeps a bounded number of workers, and a worker a bounded number of runs of the step', t => {
  const samples = new SpeedSamples<{ id: string, born: number, sampleCount: number }>(() => {})
  for (let index = 0; index < 200; index++) samples.record('s', { id: `w${index}`, born: 1, sampleCount: 0 }, '0/1', 100, 0)
  t.is(samples.count, 64)
  const worker = { id: 'w0', born: 2, sampleCount: 0 }
  for (let index = 0; index < 200; index++) samples.record('other', worker, `${index}/1`, 100, 0)
  const [step] = [...samples.listComparable()]
  t.is(step?.size, 64)
  t.is(samples.count, 65)
})
