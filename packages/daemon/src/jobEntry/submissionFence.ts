/**
 * Submission fences. The store may carry out an unanswered write seconds later, and no entry knows the unanswered writes of the others. A submission is conditional on the
 * revision of its job's fence, so that writing the fence makes every earlier submission of the job fail, wherever it came from. The planner removes fences after a time.
 */
import type { StoredValue } from '@dragonflylever/adapters'
import { parseJson } from '@dragonflylever/protocol'
import * as z from 'zod'

const fenceSchema = z.object({
  /** Organisations that have cancelled the job before it was stored; empty for a call without a key. */
  cancelledBy: z.array(z.string())
})

/** True if a fence cancels the submissions of an organisation. As with stored jobs, calls without a key cancel any job, and jobs without an organisation are anyone's to cancel. */
export function isCancelledBy (fence: StoredValue | undefined, organisation: string): boolean {
  const cancelledBy = listOrganisations(fence)
  return cancelledBy.includes(organisation) || cancelledBy.includes('') || (organisation === '' && cancelledBy.length > 0)
}

/** Encodes a fence that names the organisations that have cancelled the job; without any, it only makes earlier submissions fail. */
export function encodeFence (cancelledBy: readonly string[]): string {
  return JSON.stringify({ cancelledBy: [...new Set(cancelledBy)] })
}

/** Lists the organisations that a fence names; none if there is no fence or it is unreadable. */
export function listOrganisations (fence: StoredValue | undefined): readonly string[] {
  const checked = fenceSchema.safeParse(fence === undefined ? undefined : parseJson(fence.value))
  return checked.success ? checked.data.cancelledBy : []
}
