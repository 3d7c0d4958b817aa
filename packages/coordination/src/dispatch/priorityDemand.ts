/**
 * Estimates how much room requests of each priority ask for. Load pattern: while urgent requests keep arriving, those that wait
 * behind them get only the room that is left, however soon it becomes free.
 */
import type { Milliseconds } from '../common/index.js'

const HALF_LIFE: Milliseconds = 1_000
const MAXIMUM_PRIORITIES = 16

interface Demand {
  room: number
  at: Milliseconds
}

/** Exponentially decaying demand by priority. */
export class PriorityDemand {
  private readonly _demands = new Map<number, Demand>()

  /** Records that a request of the priority arrived. */
  add (priority: number, room: number, now: Milliseconds): void {
    if (!this._demands.has(priority) && this._demands.size >= MAXIMUM_PRIORITIES) return
    this._demands.set(priority, { room: this._roomOf(priority, now) + room, at: now })
  }

  /** Room that requests more urgent than the priority ask for in a millisecond. */
  rateAbove (priority: number, now: Milliseconds): number {
    let room = 0
    for (const other of this._demands.keys()) if (other < priority) room += this._roomOf(other, now)
    return room * Math.LN2 / HALF_LIFE
  }

  private _roomOf (priority: number, now: Milliseconds): number {
    const demand = this._demands.get(priority)
    return demand === undefined ? 0 : demand.room * 0.5 ** (Math.max(0, now - demand.at) / HALF_LIFE)
  }
}
