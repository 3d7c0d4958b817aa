/**
 * Estimates how fast the replicas of a service free room, which is memory in tokens, or slots where requests have no prompt.
 * Load pattern: a burst fills the replicas within tens of milliseconds, while a run lasts for seconds. Counting what was freed
 * recently would underestimate the rate for the length of a run, and the first requests of a burst would be refused in vain.
 * The rate is therefore the room in use divided by how long a run keeps it.
 */
import type { Milliseconds } from '../common/index.js'

/** Runs that ended before the estimate is used. */
const MINIMUM_SAMPLES = 8
const SAMPLE_WEIGHT = 0.05
/** Bounds of a run's length, against answers of failed or stuck replicas. */
const SHORTEST_RUN: Milliseconds = 20
const LONGEST_RUN: Milliseconds = 20_000

/** The room that this instance's requests use at one service, and how long they keep it. */
export class ServiceRoom {
  private _inUse = 0
  private _samples = 0
  private _meanRun: Milliseconds = 0
  private _lastFreedAt: Milliseconds = -Infinity

  /** Records that a request was sent. */
  onTaken (room: number): void {
    this._inUse += room
  }

  /**
   * Records that a request no longer uses room.
   * @param run time from its sending to its end; undefined unless it was answered in full
   */
  onFreed (room: number, run: Milliseconds | undefined, now: Milliseconds): void {
    this._inUse = Math.max(0, this._inUse - room)
    this._lastFreedAt = now
    if (run === undefined) return
    const sample = Math.min(LONGEST_RUN, Math.max(SHORTEST_RUN, run))
    this._samples += 1
    this._meanRun += (sample - this._meanRun) * Math.max(SAMPLE_WEIGHT, 1 / this._samples)
  }

  /** Mean time for which a run keeps its room; undefined until enough runs have ended. */
  get meanRun (): Milliseconds | undefined {
    return this._samples < MINIMUM_SAMPLES ? undefined : this._meanRun
  }

  /**
   * Room that this instance's own requests free in a millisecond; undefined while it is not known. Each instance uses the rate
   * of its own requests: what others free is taken by those that wait there. Replicas that free nothing for longer than a run
   * lower the rate.
   */
  rate (now: Milliseconds): number | undefined {
    const { meanRun } = this
    if (meanRun === undefined || this._inUse === 0) return undefined
    return this._inUse / Math.max(meanRun, now - this._lastFreedAt)
  }
}

/** Estimates by service. */
export class ServiceRooms {
  private readonly _rooms = new Map<string, ServiceRoom>()

  /** Returns the estimate for a service, creating it if the service is new. */
  of (service: string): ServiceRoom {
    const known = this._rooms.get(service) ?? new ServiceRoom()
    this._rooms.set(service, known)
    return known
  }
}
