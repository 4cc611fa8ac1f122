/**
 * What an experiment of the bench tool is.
 */

/** Flags that every experiment understands. */
export interface BenchOptions {
  readonly seed: number
  /** Shrinks an experiment for a quick look; its figures are trials. */
  readonly isQuick: boolean
  /** Progress for people; one line a call. */
  readonly note: (line: string) => void
}

export interface Bench {
  readonly name: string
  readonly help: string
  /** Runs the experiment; the result is printed as JSON or as a table. */
  run (options: BenchOptions): Promise<object>
}
