/**
 * Interface that each experiment of the bench tool implements.
 */

/** Options that every experiment accepts. */
export interface BenchOptions {
  readonly seed: number
  /** True for a shortened run, whose figures are trials and not results. */
  readonly isQuick: boolean
  /** Prints one progress line to standard error. */
  readonly printProgress: (line: string) => void
}

export interface Bench {
  readonly name: string
  readonly help: string
  /** Runs the experiment and returns its result, which the bench tool prints as JSON or as indented text. */
  run (options: BenchOptions): Promise<object>
}
