/**
 * Tests the invariants of the gang state machine, the agents' task tables and the store with any fault at any step.
 */
import test from 'ava'
import fc from 'fast-check'

import { GangSimulation } from './gangSimulation.js'
import type { StoreMode } from './gangSimulation.js'

type Fault = (simulation: GangSimulation) => void

const STORE_MODES: readonly StoreMode[] = ['ok', 'unavailable', 'lostAnswer', 'lostWrite']

/** Faults that the tests inject at each step of a gang's run. */
const FAULTS: Readonly<Record<string, Fault>> = {
  'planner crashes': simulation => simulation.startPlanner(),
  'planner pauses and resumes later': simulation => simulation.startPlanner(true),
  'worker crashes': simulation => simulation.crashWorker(0),
  'worker is partitioned': simulation => simulation.cutWorker(0),
  'task fails': simulation => simulation.failNextTask(1),
  'store is unavailable': simulation => { simulation.storeMode = 'unavailable' },
  'answer of a write is lost': simulation => { simulation.storeMode = 'lostAnswer' },
  'write is lost': simulation => { simulation.storeMode = 'lostWrite' },
  'message is lost': simulation => simulation.dropMessage(0),
  'message is duplicated': simulation => simulation.passMessage(0, true),
  cancelled: simulation => simulation.cancel(0)
}

function runTicks (simulation: GangSimulation, ticks: number): void {
  for (let tick = 0; tick < ticks; tick++) {
    simulation.runTick()
    for (let count = simulation.messages; count > 0; count--) simulation.passMessage(0)
  }
}

function verifyEnds (simulation: GangSimulation): void {
  const jobs = simulation.ends.size
  const ended = simulation.settle()
  if (ended !== jobs) throw new Error(`${jobs - ended} jobs did not end`)
  for (const [id, ends] of simulation.ends) if (ends.length !== 1) throw new Error(`job ${id} ended ${ends.length} times instead of once`)
  if (simulation.countTasks() > 0) throw new Error('agents still have tasks after all jobs have ended')
}

/** Runs a gang with faults at the given steps; a fault lasts until all faults are removed at the end. */
function runWithFaults (faults: ReadonlyMap<number, Fault>): void {
  const simulation = new GangSimulation(1)
  simulation.onStep = step => faults.get(step)?.(simulation)
  runTicks(simulation, 18)
  verifyEnds(simulation)
}

function countSteps (): number {
  const simulation = new GangSimulation(1)
  runTicks(simulation, 18)
  return simulation.steps
}

for (const [name, fault] of Object.entries(FAULTS)) {
  test(`all invariants hold with one fault at any step: ${name}`, t => {
    const steps = countSteps()
    for (let step = 0; step < steps; step++) {
      t.notThrows(() => runWithFaults(new Map([[step, fault]])), `step ${step} of ${steps}`)
    }
  })
}

test('all invariants hold with up to four faults at any steps', t => {
  const fault = fc.tuple(fc.nat(400), fc.constantFrom(...Object.values(FAULTS), (simulation: GangSimulation) => { simulation.storeMode = 'ok' }, (simulation: GangSimulation) => simulation.restartWorkers()))
  t.notThrows(() => fc.assert(fc.property(fc.array(fault, { minLength: 2, maxLength: 4 }), faults => {
    runWithFaults(new Map(faults))
  }), { seed: 53, numRuns: 1_000 }))
})

test('all invariants hold over any sequence of deliveries and faults with two gangs', t => {
  type SimulationCommand = fc.Command<object, GangSimulation>
  const makeCommand = (label: string, run: Fault): SimulationCommand => ({ check: () => true, run: (_model, simulation) => run(simulation), toString: () => label })
  const index = fc.nat(20)
  const commands = fc.commands([
    fc.constant(makeCommand('tick', simulation => simulation.runTick())),
    fc.constant(makeCommand('tick and deliver', simulation => runTicks(simulation, 1))),
    index.map(at => makeCommand(`deliver ${at}`, simulation => simulation.passMessage(at))),
    index.map(at => makeCommand(`duplicate ${at}`, simulation => simulation.passMessage(at, true))),
    index.map(at => makeCommand(`drop ${at}`, simulation => simulation.dropMessage(at))),
    index.map(at => makeCommand(`crash worker ${at}`, simulation => simulation.crashWorker(at))),
    index.map(at => makeCommand(`partition or reconnect worker ${at}`, simulation => simulation.cutWorker(at))),
    index.map(at => makeCommand(`fail task on worker ${at}`, simulation => simulation.failNextTask(at))),
    fc.constant(makeCommand('restart workers', simulation => simulation.restartWorkers())),
    fc.boolean().map(isPause => makeCommand(`planner ${isPause ? 'pauses' : 'crashes'}`, simulation => simulation.startPlanner(isPause))),
    fc.constant(makeCommand('resume planners', simulation => simulation.resumePlanners())),
    fc.constantFrom(...STORE_MODES).map(mode => makeCommand(`store ${mode}`, simulation => { simulation.storeMode = mode })),
    fc.nat(1).map(at => makeCommand(`cancel ${at}`, simulation => simulation.cancel(at)))
  ], { maxCommands: 80, size: 'max' })
  t.notThrows(() => fc.assert(fc.property(commands, sequence => {
    const simulation = new GangSimulation(2)
    fc.modelRun(() => ({ model: {}, real: simulation }), sequence)
    verifyEnds(simulation)
  }), { seed: 52, numRuns: 1_000 }))
})
