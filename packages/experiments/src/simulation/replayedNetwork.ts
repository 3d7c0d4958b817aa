/** Simulates calls between instances in virtual time, with delays, message loss, partitions, kills and freezes. */
import type { Milliseconds, SeededRandom } from '@wasabihead/coordination'
import type { VirtualTime } from './virtualTime.js'

/** A simulated process. Actions that fall due while it is frozen run when it thaws; none run after it has been killed. */
export class ReplayedProcess {
  isRunning = true
  private _isFrozen = false
  private _deferred: Array<() => void> = []
  bytes = 0
  messages = 0

  constructor (readonly host: string) {}

  /** Whether the process is suspended, as by SIGSTOP. */
  get isFrozen (): boolean {
    return this._isFrozen
  }

  /** Runs an action at once, or when the process thaws. Drops it if the process was killed. */
  perform (action: () => void): void {
    if (!this.isRunning) return
    if (this._isFrozen) this._deferred.push(action)
    else action()
  }

  /** Suspends the process until `thaw`. */
  freeze (): void {
    this._isFrozen = true
  }

  /** Resumes the process and runs the deferred actions in order. */
  thaw (): void {
    this._isFrozen = false
    const deferred = this._deferred
    this._deferred = []
    for (const action of deferred) this.perform(action)
  }
}

/** A call from one process to the process of another host. */
export interface ReplayedCall<Value> {
  from: ReplayedProcess
  to: string
  timeout: Milliseconds
  bytes: number
  /** Runs at the callee, which calls `answer` at once or later with its result and the bytes of the response. */
  perform: (callee: ReplayedProcess, answer: (value: Value, bytes: number) => void) => void
  /** Runs at most once at the caller; undefined if the call failed or timed out. */
  done: (value: Value | undefined) => void
}

/** A simulated network with adjustable faults. */
export class ReplayedNetwork {
  /** Share of messages lost in each direction, from 0 to 1. */
  lossShare = 0
  maximumDelay: Milliseconds = 5
  /** Whether two hosts can reach each other. */
  isConnected: (left: string, right: string) => boolean = () => true
  private readonly _processes = new Map<string, ReplayedProcess>()

  constructor (private readonly _time: VirtualTime, private readonly _random: SeededRandom) {}

  /** Adds a process, replacing an earlier one of the same host. */
  add (process: ReplayedProcess): void {
    this._processes.set(process.host, process)
  }

  /** Starts a call and counts its messages and bytes at both processes. */
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
