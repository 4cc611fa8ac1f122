/**
 * Memory and CPU time of a process, read from `/proc`.
 */
import { readFileSync } from 'node:fs'

const CLOCK_TICKS_PER_S = 100
const KB_PER_MB = 1_024

/** Returns the resident memory of a process in MB. */
export function readResidentMb (pid: number): number {
  const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Math.round(Number(match?.[1] ?? 0) / KB_PER_MB * 10) / 10
}

/** Returns the user and system CPU time that a process has used, in seconds. */
export function readCpuSeconds (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_S
}
