export * from './command.js'
export * from './commands.js'
