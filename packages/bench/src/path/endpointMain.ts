/**
 * An endpoint stand-in in a process of its own, so that it shares no loop with the load. Prints its URL.
 */
import { EndpointStandIn } from '@dragonflylever/standins'

const endpoint = await EndpointStandIn.open()
console.log(endpoint.url)
process.on('SIGTERM', () => { void endpoint.close() })
