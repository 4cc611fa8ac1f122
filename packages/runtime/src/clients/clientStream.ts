/**
 * A client's socket as Node's HTTP server sees it. What was received is passed on in slices, so that reading can stop after each of them, and is counted until it has been passed on.
 */
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'

import type { ReadScheduler, SlicedReader } from './readScheduler.js'

/** Size of the first slice, in bytes; the smallest request has 18 bytes, so that it holds at most 56 of them. */
const MIN_SLICE_BYTES = 1024
/** Size up to which slices grow while they hold large parts, in bytes. */
const MAX_SLICE_BYTES = 8 * 1024
/** Work for a request, in units of a part of a body. */
const REQUEST_WORK = 10
/** Size of a part that is not small, in bytes. */
const LARGE_PART_BYTES = 512

type WriteCallback = (error?: Error | null) => void

/** Options of {@link ClientStream}. */
export interface ClientStreamOptions {
  readonly socket: Socket
  readonly scheduler: ReadScheduler
  /** Called before received bytes are kept; returns false if there is no room, which closes the stream. */
  readonly reserveInput: (bytes: number) => boolean
  readonly releaseInput: (bytes: number) => void
}

export class ClientStream extends Duplex implements SlicedReader {
  private readonly _options: ClientStreamOptions
  private _input: Buffer | undefined
  private _offset = 0
  private _sliceBytes = MIN_SLICE_BYTES
  /** Work for the requests and parts of bodies that the HTTP server found in the current slice. */
  private _work = 0
  private _isWanted = false
  private _isHeld = false

  constructor (options: ClientStreamOptions) {
    const { socket } = options
    super({
      readableHighWaterMark: 1,
      write: (bytes: Buffer, _encoding, onWritten) => { socket.write(bytes, onWritten) },
      writev: (parts, onWritten) => writeParts(socket, parts.map(({ chunk }) => chunk as Buffer), onWritten),
      final: onEnded => { socket.end(() => onEnded()) },
      destroy: (error, onDestroyed) => {
        socket.destroy()
        onDestroyed(error)
      }
    })
    this._options = options
    socket.on('data', bytes => this._receive(bytes))
    socket.on('end', () => this.push(null))
    socket.on('timeout', () => this.emit('timeout'))
    socket.on('error', error => this.destroy(error))
    socket.on('close', () => this.destroy())
    this.on('close', () => {
      this.dropInput()
      options.scheduler.remove(this)
    })
  }

  get remoteAddress (): string | undefined {
    return this._options.socket.remoteAddress
  }

  /** Stops or resumes reading. */
  setHeld (isHeld: boolean): void {
    this._isHeld = isHeld
    this._resumeReading()
  }

  /** True while there is input that may be passed on. */
  get canRead (): boolean {
    return this._input !== undefined && this._isWanted && !this._isHeld && !this.destroyed
  }

  /** Passes the next slice of the input to the HTTP server; returns the work that this took. */
  readSlice (): number {
    const input = this._input
    if (input === undefined) throw new Error('invariant: a slice was read without input')
    const slice = input.subarray(this._offset, this._offset + this._sliceBytes)
    this._offset += slice.length
    if (this._offset === input.length) this.dropInput()
    this._work = 0
    this._isWanted = this.push(slice)
    this._sliceBytes = this._work * LARGE_PART_BYTES > slice.length ? MIN_SLICE_BYTES : Math.min(this._sliceBytes * 2, MAX_SLICE_BYTES)
    if (this._input === undefined) this._resumeReading()
    return 1 + this._work
  }

  /** Counts the work for a part of a body. */
  countPart (): void {
    this._work++
  }

  /** Counts the work for a request. */
  countRequest (): void {
    this._work += REQUEST_WORK
  }

  /** Sets the time without transfers after which `timeout` is emitted, in milliseconds; called by Node's HTTP server. */
  setTimeout (ms: number, onTimeout?: () => void): this {
    this._options.socket.setTimeout(ms)
    if (onTimeout !== undefined) this.once('timeout', onTimeout)
    return this
  }

  /** Closes the stream once everything has been written; called by Node's HTTP server. */
  destroySoon (): void {
    if (this.writable) this.end()
    if (this.writableFinished) this.destroy()
    else this.once('finish', () => this.destroy())
  }

  override _read (): void {
    this._isWanted = true
    this._resumeReading()
  }

  /** Forgets received bytes that were not passed on. */
  dropInput (): void {
    if (this._input === undefined) return
    this._options.releaseInput(this._input.length)
    this._input = undefined
  }

  private _receive (bytes: Buffer): void {
    if (this.destroyed || !this._options.reserveInput(bytes.length)) return
    this._input = bytes
    this._offset = 0
    this._options.scheduler.read(this)
    if (this._input !== undefined || !this._isWanted || this._isHeld) this._options.socket.pause()
  }

  private _resumeReading (): void {
    if (!this._isWanted || this._isHeld || this.destroyed) return
    if (this._input !== undefined) this._options.scheduler.schedule(this)
    else this._options.socket.resume()
  }
}

/** Writes parts in one call to the system. */
function writeParts (socket: Socket, parts: readonly Buffer[], onWritten: WriteCallback): void {
  socket.cork()
  for (const part of parts.slice(0, -1)) socket.write(part)
  socket.write(parts.at(-1) ?? '', onWritten)
  socket.uncork()
}
