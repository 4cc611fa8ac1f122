/**
 * Starts daemons as separate processes for tests and benchmarks, reads their logs and signals them.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const START_TIMEOUT_MS = 20_000

/** One JSON line of a process's log. */
export type LogLine = Readonly<Record<string, unknown>>

export class DaemonProcess {
  readonly lines: LogLine[] = []
  private readonly _child: ChildProcess
  private readonly _folder: string
  private readonly _exited: Promise<number | null>
  private _partialLine = ''
  private _stderr = ''
  private _lineListeners: Array<() => void> = []

  private constructor (child: ChildProcess, folder: string) {
    this._child = child
    this._folder = folder
    this._exited = new Promise(resolve => child.on('close', code => resolve(code)))
    child.stdout?.on('data', chunk => this._readLogData(String(chunk)))
    child.stderr?.on('data', chunk => { this._stderr += String(chunk) })
  }

  /** Starts a daemon and waits until it logs that it has started. */
  static async start (binary: string, settings: object): Promise<DaemonProcess> {
    const folder = mkdtempSync(join(tmpdir(), 'dragonflylever-'))
    const file = join(folder, 'settings.json')
    writeFileSync(file, JSON.stringify(settings))
    const daemon = new DaemonProcess(spawn(process.execPath, [binary, '--settings', file], { stdio: ['ignore', 'pipe', 'pipe'] }), folder)
    await daemon.waitForLine(line => String(line.msg).endsWith(': started'))
    return daemon
  }

  get pid (): number {
    return this._child.pid ?? -1
  }

  get isRunning (): boolean {
    return this._child.exitCode === null && this._child.signalCode === null
  }

  /** Addresses (IP:PORT) at which the process listens, read from its start-up log line. */
  get addresses (): { callers: string, control: string, operators: string } {
    const line = this.lines.find(line => String(line.msg).endsWith(': started')) ?? {}
    return { callers: String(line.callers), control: String(line.control), operators: String(line.operators) }
  }

  signal (signal: NodeJS.Signals): void {
    this._child.kill(signal)
  }

  /** Waits until the process exits; returns the exit code, or null when a signal ended it. */
  async waitForExit (): Promise<number | null> {
    const code = await this._exited
    rmSync(this._folder, { recursive: true, force: true })
    return code
  }

  /** Kills the process if it is running and waits until it has exited. */
  async kill (): Promise<void> {
    if (this.isRunning) this._child.kill('SIGKILL')
    await this.waitForExit()
  }

  /** Waits for a matching log line; rejects when the process exits first or after a timeout of 20 s. */
  async waitForLine (isWanted: (line: LogLine) => boolean): Promise<LogLine> {
    const deadline = performance.now() + START_TIMEOUT_MS
    for (;;) {
      const found = this.lines.find(isWanted)
      if (found !== undefined) return found
      if (!this.isRunning || performance.now() > deadline) throw new Error(`the daemon exited or timed out before logging the expected line; stderr: ${this._stderr}`)
      await Promise.race([this._waitForLogData(), this._exited])
    }
  }

  private async _waitForLogData (): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, START_TIMEOUT_MS)
      this._lineListeners.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  private _readLogData (text: string): void {
    const lines = (this._partialLine + text).split('\n')
    this._partialLine = lines.pop() ?? ''
    for (const line of lines) if (line.startsWith('{')) this.lines.push(JSON.parse(line) as LogLine)
    const listeners = this._lineListeners
    this._lineListeners = []
    for (const listener of listeners) listener()
  }
}
