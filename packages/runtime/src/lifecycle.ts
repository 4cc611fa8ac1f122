/**
 * Owns the resources of a process and closes them in the reverse order of their registration.
 */

interface OwnedResource {
  readonly name: string
  readonly close: () => Promise<void> | void
}

/** Result of closing: the resources that failed to close. */
export interface CloseReport {
  readonly failed: ReadonlyArray<{ readonly name: string, readonly message: string }>
}

export class Lifecycle {
  private readonly _resources: OwnedResource[] = []
  private _closing: Promise<CloseReport> | undefined

  /** True once closing has started. */
  get isClosing (): boolean {
    return this._closing !== undefined
  }

  /** Registers a resource to be closed. Throws if closing has started. */
  add (name: string, close: () => Promise<void> | void): void {
    if (this._closing !== undefined) throw new Error(`invariant: resource ${name} was added after closing had started`)
    this._resources.push({ name, close })
  }

  /** Closes all resources once; every call returns the same report. */
  close (): Promise<CloseReport> {
    this._closing ??= this._closeResources()
    return this._closing
  }

  private async _closeResources (): Promise<CloseReport> {
    const failed: Array<{ name: string, message: string }> = []
    for (const part of this._resources.reverse()) {
      try {
        await part.close()
      } catch (error) {
        failed.push({ name: part.name, message: (error as Error).message })
      }
    }
    return { failed }
  }
}
