/**
 * Creates the components with which an agent runs tasks of gangs at its worker.
 */
import { TaskTable } from '@dragonflylever/core'
import type { Worker } from '@dragonflylever/adapters'
import type { AgentSettings, PeerRpc, RpcRegistry } from '@dragonflylever/protocol'
import { createPartLogger } from '@dragonflylever/runtime'
import type { Lifecycle, Logger } from '@dragonflylever/runtime'

import { TASK_LEASE_MS } from '../shared/taskLease.js'
import { TaskRunner } from './taskRunner.js'
import { TaskService } from './taskService.js'

/** Dependencies of {@link createTaskService}. */
export interface TaskServiceOptions {
  readonly settings: AgentSettings
  readonly worker: Worker
  readonly peers: PeerRpc
  readonly rpc: RpcRegistry
  readonly logger: Logger
  readonly lifecycle: Lifecycle
}

/**
 * Creates the task runner and the task service; resolves once the worker was told to stop the tasks of an earlier process of this agent and
 * the RPC method is registered.
 */
export async function createTaskService (options: TaskServiceOptions): Promise<TaskRunner> {
  const { settings, worker, peers, lifecycle } = options
  const { accelerators = 0, cores = 0, memoryGb = 0 } = settings.worker ?? {}
  const workerId = settings.id
  const table = new TaskTable({ workerId, capacity: { accelerators, cores, memoryGb }, leaseMs: TASK_LEASE_MS })
  const logger = createPartLogger(options.logger, 'tasks')
  const runner: TaskRunner = new TaskRunner({ workerId, table, worker, logger, onEnded: () => service.scheduleReport() })
  const service: TaskService = new TaskService({ workerId, table, runner, peers })
  lifecycle.add('worker', () => worker.close())
  lifecycle.add('tasks', () => runner.close())
  lifecycle.add('task service', () => service.close())
  await runner.stopTasksOfEarlierProcess()
  service.register(options.rpc)
  return runner
}
