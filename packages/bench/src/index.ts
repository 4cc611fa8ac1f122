export * from './bench.js'
export * from './benches.js'
