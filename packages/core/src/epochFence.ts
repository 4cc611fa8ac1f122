/**
 * What a receiver of commands keeps to refuse a former holder of a duty: the highest epoch seen of each.
 */

export class EpochFence {
  private readonly _epochs = new Map<string, number>()

  /** True when the epoch is not below the highest seen of this duty; it is then noted. */
  accept (duty: string, epoch: number): boolean {
    if (epoch < this.get(duty)) return false
    this._epochs.set(duty, epoch)
    return true
  }

  /** Highest epoch seen; 0 when there is none. */
  get (duty: string): number {
    return this._epochs.get(duty) ?? 0
  }
}
