/**
 * Keeps the volume of one kind of line bounded: so many lines a second, and a count of those left out in the next one.
 */

/** Most lines of one kind in a second; enough to follow single requests on an ordinary day. */
const LINES_PER_S = 20
const MS_PER_S = 1_000

interface Window {
  beganAt: number
  lines: number
  leftOut: number
}

export class LogLimiter {
  private readonly _windows = new Map<string, Window>()

  /** Returns how many lines were left out since the last one, or undefined when this one is to be left out. */
  admit (kind: string): number | undefined {
    const now = performance.now()
    let window = this._windows.get(kind)
    if (window === undefined || now - window.beganAt >= MS_PER_S) {
      window = { beganAt: now, lines: 0, leftOut: window?.leftOut ?? 0 }
      this._windows.set(kind, window)
    }
    if (window.lines >= LINES_PER_S) {
      window.leftOut++
      return undefined
    }
    window.lines++
    const { leftOut } = window
    window.leftOut = 0
    return leftOut
  }
}
