/**
 * Owns everything that has to be closed, and closes it in the reverse of the order it was opened in.
 */

interface OwnedPart {
  readonly name: string
  readonly close: () => Promise<void> | void
}

/** Result of closing: the names of the parts that failed to close. */
export interface CloseReport {
  readonly failed: ReadonlyArray<{ readonly name: string, readonly message: string }>
}

export class Lifecycle {
  private readonly _parts: OwnedPart[] = []
  private _closing: Promise<CloseReport> | undefined

  /** True once closing has begun. */
  get isClosing (): boolean {
    return this._closing !== undefined
  }

  /** Takes over the clean-up of a part. */
  add (name: string, close: () => Promise<void> | void): void {
    if (this._closing !== undefined) throw new Error(`invariant: part ${name} opened after closing began`)
    this._parts.push({ name, close })
  }

  /** Closes all parts once; every call gets the same report. */
  close (): Promise<CloseReport> {
    this._closing ??= this._closeParts()
    return this._closing
  }

  private async _closeParts (): Promise<CloseReport> {
    const failed: Array<{ name: string, message: string }> = []
    for (const part of this._parts.reverse()) {
      try {
        await part.close()
      } catch (error) {
        failed.push({ name: part.name, message: (error as Error).message })
      }
    }
    return { failed }
  }
}
