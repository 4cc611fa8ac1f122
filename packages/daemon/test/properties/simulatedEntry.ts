/**
 * In-memory entry for property tests: the claim service and the dispatcher are real. Once the entry is killed, its messages and
 * store calls have no effect and never return.
 */
import { FifoQueue, SeededRandom, TwoChoicesRouter } from '@dragonflylever/core'
import type { Outcome } from '@dragonflylever/core'
import type { Store } from '@dragonflylever/adapters'
import type { PeerRpc } from '@dragonflylever/protocol'

import { AgentTable, ClaimLease, ClaimService, ClaimWriter, DispatchService, Dispatcher } from '../../src/index.js'
import type { AttemptSender, CallerRequest } from '../../src/index.js'
import type { SendFault, SimulatedAgent } from './simulatedAgent.js'

const NEVER_SETTLES = new Promise<never>(() => {})

export interface SimulatedEntryDependencies {
  readonly agents: readonly SimulatedAgent[]
  readonly store: Store
  readonly nextSendFault: () => SendFault
  readonly seed: number
}

export class SimulatedEntry {
  private readonly _dependencies: SimulatedEntryDependencies
  private readonly _table = new AgentTable()
  private readonly _dispatcher: Dispatcher
  private readonly _service: ClaimService
  private readonly _killed = new AbortController()

  constructor (dependencies: SimulatedEntryDependencies) {
    this._dependencies = dependencies
    const random = new SeededRandom(dependencies.seed)
    const store = this._makeStore()
    const queue = new FifoQueue({ maxWaiting: 100, slots: Infinity })
    this._dispatcher = new Dispatcher({ queue, router: new TwoChoicesRouter({ region: 'morava', random }), agents: this._table, sender: this._createSender(), peers: this._createPeers() })
    const writer = new ClaimWriter({ store, random, lease: new ClaimLease(store) })
    this._service = new ClaimService({ store, writer, inner: new DispatchService(this._dispatcher), prefix: 'test' })
    this.update()
  }

  get isDead (): boolean {
    return this._killed.signal.aborted
  }

  /** Serves a request; the promise never resolves once the entry is dead. */
  async serve (request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
    const outcome = await this._service.serve(request, signal)
    return this.isDead ? NEVER_SETTLES : outcome
  }

  /** Updates the entry's agent table with the current incarnations of the agents. */
  update (): void {
    const members = this._dependencies.agents.map(agent => [agent.member.id, { member: agent.member, lastSeenAt: performance.now() }] as const)
    this._dispatcher.abortAttempts(this._table.update(new Map(members)))
    this._dispatcher.startWaitingRequests()
  }

  /** Kills the entry: its connections break and none of its later messages or store calls takes effect. */
  kill (): void {
    this._killed.abort()
    this._dispatcher.close()
  }

  private _createSender (): AttemptSender {
    return {
      send: async (target, request, attemptId, signal) => {
        if (this.isDead) return NEVER_SETTLES
        const agent = this._findAgent(target.address)
        const result = await agent.receiveDispatch(target, request, attemptId, AbortSignal.any([signal, this._killed.signal]), this._dependencies.nextSendFault())
        return this.isDead ? NEVER_SETTLES : result
      },
      setConnectionLimit: () => {},
      close: async () => {}
    }
  }

  private _createPeers (): PeerRpc {
    return {
      call: async (address, _method, params, timeoutMs) => {
        if (this.isDead) return NEVER_SETTLES
        const { attemptId, incarnation } = params as { attemptId: string, incarnation: string }
        const timeout = new Promise<undefined>(resolve => setTimeout(() => resolve(undefined), timeoutMs))
        const outcome = await Promise.race([this._findAgent(address).withdraw(attemptId, incarnation), timeout])
        return outcome === undefined ? { kind: 'failed', message: 'no answer' } : { kind: 'ok', value: { outcome } as never }
      },
      close: async () => {}
    }
  }

  private _findAgent (address: string): SimulatedAgent {
    const agent = this._dependencies.agents.find(agent => agent.member.address === address)
    if (agent === undefined) throw new Error(`invariant: no simulated agent has the address ${address}`)
    return agent
  }

  /** Wraps the store so that, once the entry is dead, no call is sent and no answer is returned. */
  private _makeStore (): Store {
    return new Proxy(this._dependencies.store, {
      get: (store, name) => {
        const member: unknown = Reflect.get(store, name)
        if (typeof member !== 'function') return member
        return async (...args: unknown[]) => {
          if (this.isDead) return NEVER_SETTLES
          const result: unknown = await member.apply(store, args)
          return this.isDead ? NEVER_SETTLES : result
        }
      }
    })
  }
}
