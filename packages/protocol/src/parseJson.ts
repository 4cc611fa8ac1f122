/**
 * Parses untrusted JSON.
 */

/** Parses JSON. Returns undefined, which no message schema accepts, if the text is not valid JSON. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
