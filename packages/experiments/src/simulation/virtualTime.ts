/** A queue of actions in virtual time: the event loop of all simulations. */
import type { Milliseconds } from '@wasabihead/coordination'

interface ScheduledAction {
  at: Milliseconds
  order: number
  perform: () => void
}

/** Runs actions in the order of their times; actions due at the same time run in the order in which they were scheduled. */
export class VirtualTime {
  private _now: Milliseconds = 0
  private _nextOrder = 0
  private readonly _heap: ScheduledAction[] = []

  /** The current virtual time. */
  get now (): Milliseconds {
    return this._now
  }

  /** Number of scheduled actions that have not run yet. */
  get pendingCount (): number {
    return this._heap.length
  }

  /** Schedules an action after a delay. A negative delay counts as 0. */
  after (delay: Milliseconds, perform: () => void): void {
    this._heap.push({ at: this._now + Math.max(0, delay), order: this._nextOrder++, perform })
    this._siftUp(this._heap.length - 1)
  }

  /** Runs all actions due at or before the given time, including those scheduled meanwhile, and advances the time to it. */
  runUntil (end: Milliseconds): void {
    while ((this._heap[0]?.at ?? Infinity) <= end) this._runNext()
    this._now = Math.max(this._now, end)
  }

  private _runNext (): void {
    const next = this._heap[0] as ScheduledAction
    const last = this._heap.pop() as ScheduledAction
    if (this._heap.length > 0) {
      this._heap[0] = last
      this._siftDown(0)
    }
    this._now = next.at
    next.perform()
  }

  private _siftUp (start: number): void {
    let index = start
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this._swapIfEarlier(index, parent)) return
      index = parent
    }
  }

  private _siftDown (start: number): void {
    let index = start
    for (;;) {
      const left = 2 * index + 1
      const right = left + 1
      const child = this._isEarlier(right, left) ? right : left
      if (child >= this._heap.length || !this._swapIfEarlier(child, index)) return
      index = child
    }
  }

  private _isEarlier (left: number, right: number): boolean {
    const first = this._heap[left]
    const second = this._heap[right]
    if (first === undefined || second === undefined) return first !== undefined
    return first.at !== second.at ? first.at < second.at : first.order < second.order
  }

  private _swapIfEarlier (child: number, parent: number): boolean {
    if (!this._isEarlier(child, parent)) return false
    const held = this._heap[child] as ScheduledAction
    this._heap[child] = this._heap[parent] as ScheduledAction
    this._heap[parent] = held
    return true
  }
}
