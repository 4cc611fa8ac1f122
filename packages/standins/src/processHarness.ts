/**
 * Starts the daemon as separate processes for tests and benches, and signals them.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const START_TIMEOUT_MS = 20_000

/** One line of a process's log. */
export type LogLine = Readonly<Record<string, unknown>>

export class DaemonProcess {
  readonly lines: LogLine[] = []
  private readonly _child: ChildProcess
  private readonly _folder: string
  private readonly _exited: Promise<number | null>
  private _rest = ''
  private _stderr = ''
  private _lineListeners: Array<() => void> = []

  private constructor (child: ChildProcess, folder: string) {
    this._child = child
    this._folder = folder
    this._exited = new Promise(resolve => child.on('close', code => resolve(code)))
    child.stdout?.on('data', chunk => this._read(String(chunk)))
    child.stderr?.on('data', chunk => { this._stderr += String(chunk) })
  }

  /** Starts a daemon and waits until it says that it has started. */
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

  /** True while the process runs. */
  get isRunning (): boolean {
    return this._child.exitCode === null && this._child.signalCode === null
  }

  /** Returns the addresses that the process said it listens at. */
  get addresses (): { callers: string, control: string, operators: string } {
    const line = this.lines.find(line => String(line.msg).endsWith(': started')) ?? {}
    return { callers: String(line.callers), control: String(line.control), operators: String(line.operators) }
  }

  /** Sends a signal to this process. */
  signal (signal: NodeJS.Signals): void {
    this._child.kill(signal)
  }

  /** Waits for the end; returns the exit code, null after a signal. */
  async waitForExit (): Promise<number | null> {
    const code = await this._exited
    rmSync(this._folder, { recursive: true, force: true })
    return code
  }

  /** Ends the process whatever state it is in. */
  async kill (): Promise<void> {
    if (this.isRunning) this._child.kill('SIGKILL')
    await this.waitForExit()
  }

  /** Waits for a log line; rejects when the process ends first or the time is up. */
  async waitForLine (isWanted: (line: LogLine) => boolean): Promise<LogLine> {
    const limit = performance.now() + START_TIMEOUT_MS
    for (;;) {
      const found = this.lines.find(isWanted)
      if (found !== undefined) return found
      if (!this.isRunning || performance.now() > limit) throw new Error(`the process did not log the line: ${this._stderr}`)
      await Promise.race([this._waitForNews(), this._exited])
    }
  }

  private async _waitForNews (): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, START_TIMEOUT_MS)
      this._lineListeners.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  private _read (text: string): void {
    const lines = (this._rest + text).split('\n')
    this._rest = lines.pop() ?? ''
    for (const line of lines) if (line.startsWith('{')) this.lines.push(JSON.parse(line) as LogLine)
    const listeners = this._lineListeners
    this._lineListeners = []
    for (const listener of listeners) listener()
  }
}
