/**
 * The blackboard: what the process knows and intends, written by adapters and controllers, read by controllers.
 */

/** Called after a key has changed. */
export type ChangeListener = () => void

/** Typed map of facts with change notices. `Facts` names every key and its type. */
export class Blackboard<Facts extends object> {
  private readonly _facts: Facts
  private readonly _listeners = new Map<keyof Facts, Set<ChangeListener>>()

  constructor (initial: Facts) {
    this._facts = { ...initial }
  }

  /** Returns the present value of a key. */
  get<K extends keyof Facts> (key: K): Facts[K] {
    return this._facts[key]
  }

  /** Writes a value; listeners hear of it when it is not the same value as before. */
  set<K extends keyof Facts> (key: K, value: Facts[K]): void {
    if (Object.is(this._facts[key], value)) return
    this._facts[key] = value
    for (const listener of this._listeners.get(key) ?? []) listener()
  }

  /** Calls `listener` after each change of `key`; the returned function ends that. */
  subscribe (key: keyof Facts, listener: ChangeListener): () => void {
    const listeners = this._listeners.get(key) ?? new Set()
    this._listeners.set(key, listeners)
    listeners.add(listener)
    return () => { listeners.delete(listener) }
  }
}
