/** Passive failure detection: estimates the health of each replica from the traffic that this instance sends to it. */
import type { Milliseconds } from '../common/index.js'

/** What the end of an attempt indicates about the health of its replica. */
export type HealthSignal =
  | 'answered'
  /** The replica refused or failed the request, or its answer was cut off or malformed. */
  | 'failed'
  /** No connection could be made, or nothing was received within the timeout. */
  | 'unreachable'

/** Share of the remaining distance to 1 by which a failure raises suspicion. */
const FAILURE_WEIGHT = 0.35
/** Share by which an answered attempt lowers suspicion. */
const SUCCESS_WEIGHT = 0.15
/** Time in which suspicion decays to half without traffic. */
const HALF_LIFE: Milliseconds = 2_500
/** Duration of the first exclusion; each further unreachable attempt in a row doubles it, up to the maximum. */
const FIRST_EXCLUSION: Milliseconds = 500
const MAXIMUM_EXCLUSION: Milliseconds = 4_000

/** A replica whose active streams all stay silent for this long is considered dead; an engine's step takes some 60 ms. */
const SILENCE_TIMEOUT: Milliseconds = 450

interface StreamActivity {
  /** Number of active streams. */
  streams: number
  /** When bytes were last received, or a stream began. */
  lastAt: Milliseconds
}

interface ReplicaState {
  /** From 0 (healthy) to 1, as of `at`. */
  suspicion: number
  at: Milliseconds
  unreachableInARow: number
  excludedUntil: Milliseconds
  /** Whether a request is in flight that probes whether the replica answers again. */
  isProbing: boolean
}

/** Health of each replica, by its id. */
export class ReplicaHealth {
  private readonly _states = new Map<string, ReplicaState>()
  private readonly _streamActivity = new Map<string, StreamActivity>()

  /** Records the end of an attempt. */
  record (replicaId: string, sign: HealthSignal, now: Milliseconds): void {
    const state = this._decayedState(replicaId, now)
    state.isProbing = false
    if (sign === 'answered') {
      state.suspicion *= 1 - SUCCESS_WEIGHT
      state.unreachableInARow = 0
      state.excludedUntil = -Infinity
    } else {
      state.suspicion += (1 - state.suspicion) * FAILURE_WEIGHT
    }
    if (sign === 'unreachable') {
      const exclusion = Math.min(MAXIMUM_EXCLUSION, FIRST_EXCLUSION * 2 ** state.unreachableInARow)
      state.unreachableInARow += 1
      state.excludedUntil = now + exclusion
    }
    this._states.set(replicaId, state)
  }

  /** Suspicion that the replica is failing, from 0 (healthy) to 1. */
  suspicion (replicaId: string, now: Milliseconds): number {
    const state = this._states.get(replicaId)
    return state === undefined ? 0 : state.suspicion * decay(now - state.at)
  }

  /**
   * Whether the replica must not be selected: its streams are silent, it was unreachable and its exclusion has not ended, or
   * one request is already probing it.
   */
  isExcluded (replicaId: string, now: Milliseconds): boolean {
    if (this.isSilent(replicaId, now)) return true
    const state = this._states.get(replicaId)
    if (state === undefined || state.unreachableInARow === 0) return false
    return state.isProbing || now < state.excludedUntil
  }

  /** Records that a request is sent to the replica. After an exclusion, this request is the probe. */
  onSend (replicaId: string): void {
    const state = this._states.get(replicaId)
    if (state !== undefined && state.unreachableInARow > 0) state.isProbing = true
  }

  /** Records the end of an attempt that says nothing about the replica's health. If it was the probe, another may be sent. */
  onInconclusive (replicaId: string): void {
    const state = this._states.get(replicaId)
    if (state !== undefined) state.isProbing = false
  }

  /** Records that a stream from the replica began (1) or ended (-1). */
  onStream (replicaId: string, change: 1 | -1, now: Milliseconds): void {
    const activity = this._streamActivity.get(replicaId) ?? { streams: 0, lastAt: now }
    activity.streams = Math.max(0, activity.streams + change)
    if (change > 0) activity.lastAt = now
    this._streamActivity.set(replicaId, activity)
  }

  /** Records that bytes were received from the replica. */
  onBytes (replicaId: string, now: Milliseconds): void {
    const activity = this._streamActivity.get(replicaId)
    if (activity !== undefined) activity.lastAt = now
  }

  /** Whether the replica has active streams and has sent no bytes within the silence timeout. */
  isSilent (replicaId: string, now: Milliseconds): boolean {
    const activity = this._streamActivity.get(replicaId)
    return activity !== undefined && activity.streams > 0 && now - activity.lastAt > SILENCE_TIMEOUT
  }

  /** Whether bytes were received from the replica at or after a time. */
  hasSentBytesSince (replicaId: string, time: Milliseconds): boolean {
    const activity = this._streamActivity.get(replicaId)
    return activity !== undefined && activity.lastAt >= time
  }

  /** Forgets failures of a replica that were those of this instance's links to all replicas. Its active streams still count. */
  clearFailures (replicaId: string): void {
    this._states.delete(replicaId)
  }

  /** Discards the state of a replica that was removed. */
  forget (replicaId: string): void {
    this._states.delete(replicaId)
    this._streamActivity.delete(replicaId)
  }

  private _decayedState (replicaId: string, now: Milliseconds): ReplicaState {
    const known = this._states.get(replicaId)
    if (known === undefined) {
      return { suspicion: 0, at: now, unreachableInARow: 0, excludedUntil: -Infinity, isProbing: false }
    }
    known.suspicion *= decay(now - known.at)
    known.at = now
    return known
  }
}

function decay (age: Milliseconds): number {
  return 0.5 ** (Math.max(0, age) / HALF_LIFE)
}
