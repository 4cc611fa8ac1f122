/**
 * Limits the number of log lines per second, separately for each kind of line, and counts the suppressed lines for the next admitted one.
 */

/** Default of the maximum number of lines of one kind per second; enough to follow individual requests under normal load. */
const MAX_LINES_PER_S = 20
const MS_PER_S = 1_000

interface Window {
  startedAt: number
  lines: number
  leftOut: number
}

export class LogLimiter {
  private readonly _windows = new Map<string, Window>()
  private readonly _maxLinesPerS: number

  constructor (maxLinesPerS = MAX_LINES_PER_S) {
    this._maxLinesPerS = maxLinesPerS
  }

  /** Decides about one line of a kind. Returns undefined if the line must be suppressed, otherwise the number of lines suppressed since the last admitted line. */
  admit (kind: string): number | undefined {
    const now = performance.now()
    let window = this._windows.get(kind)
    if (window === undefined || now - window.startedAt >= MS_PER_S) {
      window = { startedAt: now, lines: 0, leftOut: window?.leftOut ?? 0 }
      this._windows.set(kind, window)
    }
    if (window.lines >= this._maxLinesPerS) {
      window.leftOut++
      return undefined
    }
    window.lines++
    const { leftOut } = window
    window.leftOut = 0
    return leftOut
  }
}
