/**
 * `dragonflylever standins --port N`: serves stand-ins of the platform's services on loopback, so that the daemon can run without it.
 */
import type { CommandOutput } from '../command.js'
import { ExitCode, createFlagCommand, getStringFlag } from '../flagCommand.js'

const MAX_PORT = 65_535
const MAX_ENDPOINTS = 64
const WORKER_PORT_OFFSET = 100
const DEFAULT_ENDPOINTS = '10'

const MAX_BASE_PORT = MAX_PORT - WORKER_PORT_OFFSET - MAX_ENDPOINTS

const FLAGS = {
  port: { type: 'string', help: 'port of the store; the endpoints use the ports after it' },
  endpoints: { type: 'string', help: `number of endpoints; default: ${DEFAULT_ENDPOINTS}` }
} as const

export const standinsCommand = createFlagCommand({
  name: 'standins',
  usage: 'standins --port PORT [--endpoints COUNT]',
  help: 'serve a store, endpoints and workers on loopback until SIGTERM, for local trials',
  flags: FLAGS,
  minArguments: 0,
  maxArguments: 0,
  async execute (flags, output) {
    const port = parsePortOrCount(getStringFlag(flags, 'port') ?? '')
    const count = parsePortOrCount(getStringFlag(flags, 'endpoints') ?? DEFAULT_ENDPOINTS)
    if (port === undefined || count === undefined || count > MAX_ENDPOINTS || port > MAX_BASE_PORT) {
      output.err(`standins: expected --port from 1 to ${MAX_BASE_PORT} and --endpoints from 1 to ${MAX_ENDPOINTS}`)
      return ExitCode.badInput
    }
    return serveStandIns(port, count, output)
  }
})

/** Serves the stand-ins until SIGTERM or SIGINT. If a port is not available, closes those that are already open and returns an error code. */
async function serveStandIns (port: number, count: number, output: CommandOutput): Promise<number> {
  const { EndpointStandIn, StoreStandIn, WorkerStandIn } = await import('@dragonflylever/standins')
  const standIns: Array<{ url: string, close (): Promise<void> }> = []
  try {
    standIns.push(await StoreStandIn.open(port))
    for (let index = 1; index <= count; index++) {
      standIns.push(await EndpointStandIn.open(port + index))
      standIns.push(await WorkerStandIn.open(port + WORKER_PORT_OFFSET + index))
    }
    output.out(`store, endpoints and workers at ${standIns.map(one => one.url).join(' ')}`)
    output.out('ready')
    await waitForSignal()
    return ExitCode.ok
  } catch (error) {
    output.err(`standins: ${(error as Error).message}; choose another --port`)
    return ExitCode.failed
  } finally {
    await Promise.all(standIns.map(one => one.close()))
  }
}

function parsePortOrCount (text: string): number | undefined {
  const value = /^\d{1,5}$/.test(text) ? Number(text) : 0
  return value >= 1 && value <= MAX_PORT ? value : undefined
}

async function waitForSignal (): Promise<void> {
  await new Promise<void>(resolve => {
    process.on('SIGTERM', resolve)
    process.on('SIGINT', resolve)
  })
}
