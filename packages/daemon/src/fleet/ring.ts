/**
 * Orders of the members of a failure domain, computed identically by every process: the ring in which each member checks its
 * successor, and the tree along which updates are distributed.
 */
import { createHash } from 'node:crypto'

import { listInTurn } from '@dragonflylever/core'
import type { Member } from '@dragonflylever/protocol'

const FAN_OUT = 4

/** Returns the other members in ring order, starting with the successor of the member `id`. */
export function listSuccessors (members: readonly Member[], id: string): Member[] {
  const own = computePosition(id)
  const others = members.filter(member => member.id !== id).map(member => ({ member, position: computePosition(member.id) }))
  others.sort((a, b) => a.position < b.position ? -1 : 1)
  const first = others.findIndex(({ position }) => position > own)
  return listInTurn(others, Math.max(0, first)).map(({ member }) => member)
}

/** Returns the members to which the member `id` forwards updates, in a tree with the registrar as its root. */
export function listTreeChildren (members: readonly Member[], registrarId: string, id: string): Member[] {
  const sorted = [...members].sort((a, b) => a.id < b.id ? -1 : 1)
  const root = sorted.findIndex(member => member.id === registrarId)
  const ordered = listInTurn(sorted, Math.max(0, root))
  const index = ordered.findIndex(member => member.id === id)
  if (index < 0) return []
  return ordered.slice(index * FAN_OUT + 1, index * FAN_OUT + 1 + FAN_OUT)
}

function computePosition (id: string): string {
  return createHash('sha1').update(id).digest('hex')
}
