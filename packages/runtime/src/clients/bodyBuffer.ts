/**
 * Collects the parts of a body. Parts are copied into blocks, since a Buffer of its own for each part of a byte takes some hundred times as much memory as the byte.
 */

const MIN_BLOCK_BYTES = 1024
const MAX_BLOCK_BYTES = 64 * 1024
const EMPTY = Buffer.alloc(0)

export class BodyBuffer {
  private readonly _blocks: Buffer[] = []
  /** Bytes used of the last block. */
  private _used = 0
  private _size = 0

  /** Number of bytes collected. */
  get size (): number {
    return this._size
  }

  /** Number of bytes that will be allocated when a part of this size is added; the first part is kept as it is. */
  computeGrowth (bytes: number): number {
    const free = this._countFree()
    return bytes <= free ? 0 : this._computeBlockBytes(bytes - free)
  }

  add (part: Buffer): void {
    const growth = this.computeGrowth(part.length)
    this._size += part.length
    const last = this._blocks.at(-1)
    if (last === undefined) {
      this._blocks.push(part)
      this._used = part.length
      return
    }
    const copied = part.copy(last, this._used)
    this._used += copied
    if (copied === part.length) return
    const block = Buffer.allocUnsafeSlow(growth)
    this._used = part.copy(block, 0, copied)
    this._blocks.push(block)
  }

  /** Returns everything collected as one Buffer. */
  join (): Buffer {
    const last = this._blocks.pop()
    if (last === undefined) return EMPTY
    const used = last.subarray(0, this._used)
    return this._blocks.length === 0 ? used : Buffer.concat([...this._blocks, used], this._size)
  }

  private _countFree (): number {
    return (this._blocks.at(-1)?.length ?? 0) - this._used
  }

  /** A first part is not copied; a later block is as large as what is there, within bounds, so that at most as much again lies unused. */
  private _computeBlockBytes (bytes: number): number {
    if (this._blocks.length === 0) return bytes
    return Math.max(bytes, Math.min(Math.max(this._size, MIN_BLOCK_BYTES), MAX_BLOCK_BYTES))
  }
}
