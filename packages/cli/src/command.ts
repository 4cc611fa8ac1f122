/**
 * What a command of the command line is.
 */

/** Where a command writes; one line a call. */
export interface CommandOutput {
  readonly out: (line: string) => void
  readonly err: (line: string) => void
}

export interface Command {
  readonly name: string
  readonly usage: string
  readonly help: string
  /** Runs the command; returns the exit code: 0 done, 1 failed, 2 bad input. */
  run (args: readonly string[], output: CommandOutput): Promise<number>
}
