/**
 * Fencing by epoch: a receiver of commands keeps the highest epoch seen for each leader role and refuses commands of former leaders.
 */

export class EpochFence {
  private readonly _epochs = new Map<string, number>()

  /** Records the epoch of a command. Returns false when the epoch is below the highest one seen for the leader role: the command must be refused. */
  acceptEpoch (duty: string, epoch: number): boolean {
    if (epoch < this.getHighestEpoch(duty)) return false
    this._epochs.set(duty, epoch)
    return true
  }

  /** Returns the highest epoch seen for the leader role; 0 when there is none. */
  getHighestEpoch (duty: string): number {
    return this._epochs.get(duty) ?? 0
  }
}
