/**
 * In-process state shared by adapters and controllers. Both write it; controllers also read it.
 */

/** Called after the value of a key has changed. */
export type ChangeListener = () => void

/** Typed key-value map with change notifications. `Facts` declares every key and the type of its value. */
export class Blackboard<Facts extends object> {
  private readonly _facts: Facts
  private readonly _listeners = new Map<keyof Facts, Set<ChangeListener>>()

  constructor (initial: Facts) {
    this._facts = { ...initial }
  }

  /** Returns the current value of a key. */
  get<K extends keyof Facts> (key: K): Facts[K] {
    return this._facts[key]
  }

  /** Sets a value; listeners are called if it differs from the previous one by `Object.is`. */
  set<K extends keyof Facts> (key: K, value: Facts[K]): void {
    if (Object.is(this._facts[key], value)) return
    this._facts[key] = value
    for (const listener of this._listeners.get(key) ?? []) listener()
  }

  /** Calls `listener` after each change of `key`. The returned function removes the subscription. */
  subscribe (key: keyof Facts, listener: ChangeListener): () => void {
    const listeners = this._listeners.get(key) ?? new Set()
    this._listeners.set(key, listeners)
    listeners.add(listener)
    return () => { listeners.delete(listener) }
  }
}
