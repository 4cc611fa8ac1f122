/**
 * Interface that each command of `dragonflylever` implements.
 */

/** Standard output and standard error of a command; each call writes one line. */
export interface CommandOutput {
  readonly out: (line: string) => void
  readonly err: (line: string) => void
}

export interface Command {
  readonly name: string
  readonly usage: string
  readonly help: string
  /** Runs the command and returns the exit code: 0 for success, 1 for a failure, 2 for invalid input. */
  run (args: readonly string[], output: CommandOutput): Promise<number>
}
