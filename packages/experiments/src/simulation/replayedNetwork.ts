/** Calls between replayed instances, with delays, losses, cuts, kills and freezes. */
import type { Milliseconds, SeededRandom } from '@wasabihead/coordination'
import type { VirtualTime } from './virtualTime.js'

/** A process of the replay: what was due while it was frozen happens when it thaws, and never after it was killed. */
export class ReplayedProcess {
  isRunning = true
  private _isFrozen = false
  private _deferred: Array<() => void> = []
  bytes = 0
  messages = 0

  constructor (readonly host: string) {}

  /** Whether the process is stopped in its tracks. */
  get isFrozen (): boolean {
    return this._isFrozen
  }

  /** Runs an action now, or when the process thaws. */
  perform (action: () => void): void {
    if (!this.isRunning) return
    if (this._isFrozen) this._deferred.push(action)
    else action()
  }

  /** Stops the process for a time. */
  freeze (): void {
    this._isFrozen = true
  }

  /** Lets it go on. */
  thaw (): void {
    this._isFrozen = false
    const deferred = this._deferred
    this._deferred = []
    for (const action of deferred) this.perform(action)
  }
}

/** A call from one process to another. */
export interface ReplayedCall<Value> {
  from: ReplayedProcess
  to: string
  timeout: Milliseconds
  bytes: number
  /** Runs at the callee, which answers at once or later. */
  perform: (callee: ReplayedProcess, answer: (value: Value, bytes: number) => void) => void
  /** Runs at the caller; undefined where no answer came in time. */
  done: (value: Value | undefined) => void
}

/** The network. */
export class ReplayedNetwork {
  /** Share of messages lost in each direction. */
  lossShare = 0
  maximumDelay: Milliseconds = 5
  /** Whether two hosts can reach each other. */
  isConnected: (left: string, right: string) => boolean = () => true
  private readonly _processes = new Map<string, ReplayedProcess>()

  constructor (private readonly _time: VirtualTime, private readonly _random: SeededRandom) {}

  /** Adds a process, in place of an earlier one of its host. */
  add (process: ReplayedProcess): void {
    this._processes.set(process.host, process)
  }

  /** Calls another process. */
  call<Value> (call: ReplayedCall<Value>): void {
    const { from, to } = call
    let isDone = false
    const finish = (value: Value | undefined): void => {
      if (isDone) return
      isDone = true
      from.perform(() => { call.done(value) })
    }
    this._count(from, call.bytes)
    this._time.after(call.timeout, () => { finish(undefined) })
    if (!this._arrives(from.host, to)) return
    this._time.after(this._delay(), () => {
      const callee = this._processes.get(to)
      if (callee === undefined || !callee.isRunning) return finish(undefined)
      callee.perform(() => {
        this._count(callee, call.bytes)
        call.perform(callee, (value, bytes) => {
          this._count(callee, bytes)
          if (!this._arrives(to, from.host)) return
          this._time.after(this._delay(), () => {
            this._count(from, bytes)
            finish(value)
          })
        })
      })
    })
  }

  private _count (process: ReplayedProcess, bytes: number): void {
    process.bytes += bytes
    process.messages += 1
  }

  private _arrives (from: string, to: string): boolean {
    return this.isConnected(from, to) && this._random.next() >= this.lossShare
  }

  private _delay (): Milliseconds {
    return this._random.next() * this.maximumDelay
  }
}
