/**
 * List of all commands. Large dependencies are loaded only when a command runs.
 */
import type { Command } from './command.js'
import { applyCommand } from './commands/apply.js'
import { cancelCommand } from './commands/cancel.js'
import { diffCommand } from './commands/diff.js'
import { explainJobCommand } from './commands/explainJob.js'
import { historyCommand } from './commands/history.js'
import { jobsCommand } from './commands/jobs.js'
import { standinsCommand } from './commands/standins.js'
import { statusCommand } from './commands/status.js'
import { submitCommand } from './commands/submit.js'
import { validateCommand } from './commands/validate.js'
import { createFlagCommand } from './flagCommand.js'

const demoCommand = createFlagCommand({
  name: 'demo',
  usage: 'demo',
  help: 'run sample requests and a gang job on stand-ins, within this process',
  flags: {},
  minArguments: 0,
  maxArguments: 0,
  async execute (_flags, output) {
    const { runDemo } = await import('./demo/runDemo.js')
    return runDemo(output.out)
  }
})

export const COMMANDS: readonly Command[] = [
  demoCommand,
  validateCommand,
  diffCommand,
  applyCommand,
  historyCommand,
  statusCommand,
  submitCommand,
  jobsCommand,
  explainJobCommand,
  cancelCommand,
  standinsCommand
]
