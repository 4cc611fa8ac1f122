/**
 * All commands. Each loads its code when it runs.
 */
import type { Command } from './command.js'

const demoCommand: Command = {
  name: 'demo',
  usage: 'demo',
  help: 'run the main job on stand-ins, within this process',
  async run (_args, output) {
    const { runDemo } = await import('./demo/runDemo.js')
    return runDemo(output.out)
  }
}

export const COMMANDS: readonly Command[] = [demoCommand]
