/**
 * Interface of the experiments of the bench tool.
 */

/** Options that every experiment accepts. */
export interface BenchOptions {
  readonly seed: number
  /** Runs a shortened experiment; its figures are trials, not results. */
  readonly isQuick: boolean
  /** Prints one line of progress. */
  readonly printProgress: (line: string) => void
}

export interface Bench {
  readonly name: string
  readonly help: string
  /** Runs the experiment; the result is printed as JSON or as a table. */
  run (options: BenchOptions): Promise<object>
}
