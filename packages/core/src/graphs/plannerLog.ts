/**
 * Log of the planner's decisions, with one call for each decision.
 */
export interface PlannerLog {
  /** Logs a decision. `event` is a short fixed text; the fields hold the details. */
  note (event: string, fields: Readonly<Record<string, unknown>>): void
}
