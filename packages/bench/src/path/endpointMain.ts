/**
 * Runs an endpoint stand-in in a separate process, so that it does not share an event loop with the load generator. Prints its URL.
 */
import { EndpointStandIn } from '@dragonflylever/standins'

const endpoint = await EndpointStandIn.open()
console.log(endpoint.url)
process.on('SIGTERM', () => { void endpoint.close() })
