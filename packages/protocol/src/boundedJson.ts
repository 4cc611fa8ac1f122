/**
 * Bounds on the structure of untrusted JSON. Parsed values take up to some dozen times the memory of their text: 4 MiB of nested brackets need more than the heap of a process.
 */

/** Maximum number of values, names included, in one text: a report of 2 MB that lists only runs has some 260,000. */
export const MAX_JSON_VALUES = 400_000
/** Maximum size of a character of a string in JSON, encoded as UTF-8, in bytes: that of an escaped one. */
export const MAX_JSON_CHARACTER_BYTES = 6
/** Maximum depth of arrays and objects within each other; the messages of the system use fewer than ten levels. */
export const MAX_JSON_DEPTH = 64
/** Texts up to this size, in bytes, are not counted: however they are nested, their values take a few megabytes. */
const UNCOUNTED_BYTES = 32 * 1024

const QUOTE = 0x22
const BACKSLASH = 0x5c
const COMMA = 0x2c
const COLON = 0x3a
const OPEN_ARRAY = 0x5b
const CLOSE_ARRAY = 0x5d
const OPEN_OBJECT = 0x7b
const CLOSE_OBJECT = 0x7d

/** Returns whether a JSON text, encoded as UTF-8, is within the bounds. Texts that are not valid JSON may be within them. */
export function isBoundedJson (text: Uint8Array): boolean {
  if (text.length <= UNCOUNTED_BYTES) return true
  let values = 1
  let depth = 0
  for (let index = 0; index < text.length; index++) {
    const byte = text[index]
    if (byte === QUOTE) index = findStringEnd(text, index)
    else if (byte === COMMA || byte === COLON) values++
    else if (byte === CLOSE_ARRAY || byte === CLOSE_OBJECT) depth--
    else if (byte === OPEN_ARRAY || byte === OPEN_OBJECT) {
      values++
      depth++
    }
    if (values > MAX_JSON_VALUES || depth > MAX_JSON_DEPTH) return false
  }
  return true
}

/** Returns the index of the quote that ends the string which starts at an index, or the length of the text if none does. */
function findStringEnd (text: Uint8Array, start: number): number {
  for (let index = start + 1; index < text.length; index++) {
    if (text[index] === BACKSLASH) index++
    else if (text[index] === QUOTE) return index
  }
  return text.length
}
