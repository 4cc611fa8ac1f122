/**
 * `dragonflylever validate FILE`: checks declarations without access to the store.
 */
import { acceptableDeclarationsSchema } from '@dragonflylever/protocol'

import { ExitCode, createFlagCommand } from '../flagCommand.js'
import { readDocument } from '../readDocument.js'

export const validateCommand = createFlagCommand({
  name: 'validate',
  usage: 'validate FILE',
  help: 'check declarations; needs neither store nor fleet',
  flags: {},
  minArguments: 1,
  maxArguments: 1,
  async execute ({ positionals: [file = ''] }, output) {
    const document = readDocument(file, acceptableDeclarationsSchema, output)
    if (document === undefined) return ExitCode.badInput
    const { classes, organisations } = document.value
    output.out(`${file}: valid, ${Object.keys(classes).length} classes and ${Object.keys(organisations).length} organisations`)
    return ExitCode.ok
  }
})
