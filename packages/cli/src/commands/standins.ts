/**
 * `dragonflylever standins --port N`: stand-ins of the platform on loopback, so that the daemon can be tried.
 */
import { ExitCode, createFlagCommand, getText } from '../flagCommand.js'

const MAX_PORT = 65_535
const MAX_ENDPOINTS = 64
const DEFAULT_ENDPOINTS = '10'

const FLAGS = {
  port: { type: 'string', help: 'port of the store; the endpoints take the next ones' },
  endpoints: { type: 'string', help: `number of endpoints; ${DEFAULT_ENDPOINTS} when absent` }
} as const

export const standinsCommand = createFlagCommand({
  name: 'standins',
  usage: 'standins --port PORT [--endpoints COUNT]',
  help: 'serve a store and endpoints on loopback until SIGTERM, for trials',
  flags: FLAGS,
  minArguments: 0,
  maxArguments: 0,
  async execute (flags, output) {
    const port = parseNumber(getText(flags, 'port') ?? '')
    const count = parseNumber(getText(flags, 'endpoints') ?? DEFAULT_ENDPOINTS)
    if (port === undefined || count === undefined || count > MAX_ENDPOINTS || port + count > MAX_PORT) {
      output.err(`standins: expected --port from 1 to ${MAX_PORT - MAX_ENDPOINTS} and --endpoints from 1 to ${MAX_ENDPOINTS}`)
      return ExitCode.badInput
    }
    const { EndpointStandIn, StoreStandIn } = await import('@dragonflylever/standins')
    const store = await StoreStandIn.open(port)
    output.out(`store at ${store.url}`)
    const endpoints = []
    for (let index = 1; index <= count; index++) endpoints.push(await EndpointStandIn.open(port + index))
    output.out(`endpoints at ${endpoints.map(endpoint => endpoint.url).join(' ')}`)
    output.out('ready')
    await waitForSignal()
    await Promise.all(endpoints.map(endpoint => endpoint.close()))
    await store.close()
    return ExitCode.ok
  }
})

function parseNumber (text: string): number | undefined {
  const value = /^\d{1,5}$/.test(text) ? Number(text) : 0
  return value >= 1 && value <= MAX_PORT ? value : undefined
}

async function waitForSignal (): Promise<void> {
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
}
