/**
 * Reading of JSON from outside.
 */

/** Parses JSON; undefined when the text is none, which no schema accepts. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
