/**
 * Where the planner notes its decisions, one call for each.
 */
export interface PlannerLog {
  /** `event` is a short fixed text; the fields say what was decided upon. */
  note (event: string, fields: Readonly<Record<string, unknown>>): void
}
