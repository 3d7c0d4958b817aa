/** How far each replica is trusted, judged by the traffic that this instance sent to it. */
import type { Milliseconds } from '../common/index.js'

/** How one attempt on a replica ended. */
export type AttemptSign =
  | 'answered'
  /** Refused, failed, broken off or spoiled. */
  | 'failed'
  /** No connection, or nothing came in the time that was allowed. */
  | 'unreachable'

const FAILURE_WEIGHT = 0.35
const SUCCESS_WEIGHT = 0.15
/** Time in which half of a suspicion is forgotten without any traffic. */
const HALF_LIFE: Milliseconds = 2_500
const FIRST_EXCLUSION: Milliseconds = 500
const LONGEST_EXCLUSION: Milliseconds = 4_000

/** A replica whose running streams all stay silent for this long is taken for dead; an engine's step takes some 60 ms. */
const LONGEST_SILENCE: Milliseconds = 450

interface Pulse {
  streams: number
  lastAt: Milliseconds
}

interface Trust {
  suspicion: number
  at: Milliseconds
  unreachableInARow: number
  excludedUntil: Milliseconds
  /** Whether one request is out to find whether the replica answers again. */
  isOnTrial: boolean
}

/** Holds the trust in each replica. */
export class ReplicaHealth {
  private readonly _trust = new Map<string, Trust>()
  private readonly _pulses = new Map<string, Pulse>()

  /** Takes the end of an attempt. */
  record (replicaId: string, sign: AttemptSign, now: Milliseconds): void {
    const trust = this._current(replicaId, now)
    trust.isOnTrial = false
    if (sign === 'answered') {
      trust.suspicion *= 1 - SUCCESS_WEIGHT
      trust.unreachableInARow = 0
      trust.excludedUntil = -Infinity
    } else {
      trust.suspicion += (1 - trust.suspicion) * FAILURE_WEIGHT
    }
    if (sign === 'unreachable') {
      const exclusion = Math.min(LONGEST_EXCLUSION, FIRST_EXCLUSION * 2 ** trust.unreachableInARow)
      trust.unreachableInARow += 1
      trust.excludedUntil = now + exclusion
    }
    this._trust.set(replicaId, trust)
  }

  /** From 0 (trusted) to 1. */
  suspicion (replicaId: string, now: Milliseconds): number {
    const trust = this._trust.get(replicaId)
    return trust === undefined ? 0 : trust.suspicion * decay(now - trust.at)
  }

  /** Whether the replica is left out: it could not be reached lately, or one request is out to try it again. */
  isExcluded (replicaId: string, now: Milliseconds): boolean {
    if (this.isSilent(replicaId, now)) return true
    const trust = this._trust.get(replicaId)
    if (trust === undefined || trust.unreachableInARow === 0) return false
    return trust.isOnTrial || now < trust.excludedUntil
  }

  /** A request goes to the replica: after an exclusion it is the one that tries it. */
  onSend (replicaId: string): void {
    const trust = this._trust.get(replicaId)
    if (trust !== undefined && trust.unreachableInARow > 0) trust.isOnTrial = true
  }

  /** A request ended that says nothing of the replica's health; where it was the one that tried it, another one may. */
  onUnjudged (replicaId: string): void {
    const trust = this._trust.get(replicaId)
    if (trust !== undefined) trust.isOnTrial = false
  }

  /** A stream from the replica began or ended. */
  onStream (replicaId: string, change: 1 | -1, now: Milliseconds): void {
    const pulse = this._pulses.get(replicaId) ?? { streams: 0, lastAt: now }
    pulse.streams = Math.max(0, pulse.streams + change)
    if (change > 0) pulse.lastAt = now
    this._pulses.set(replicaId, pulse)
  }

  /** Bytes came from the replica. */
  onBytes (replicaId: string, now: Milliseconds): void {
    const pulse = this._pulses.get(replicaId)
    if (pulse !== undefined) pulse.lastAt = now
  }

  /** Whether streams run on the replica and none of them has made progress for long. */
  isSilent (replicaId: string, now: Milliseconds): boolean {
    const pulse = this._pulses.get(replicaId)
    return pulse !== undefined && pulse.streams > 0 && now - pulse.lastAt > LONGEST_SILENCE
  }

  /** Whether bytes came from the replica at or after a time. */
  hasSpokenSince (replicaId: string, time: Milliseconds): boolean {
    const pulse = this._pulses.get(replicaId)
    return pulse !== undefined && pulse.lastAt >= time
  }

  /** Forgets a replica that is gone. */
  forget (replicaId: string): void {
    this._trust.delete(replicaId)
    this._pulses.delete(replicaId)
  }

  private _current (replicaId: string, now: Milliseconds): Trust {
    const known = this._trust.get(replicaId)
    if (known === undefined) {
      return { suspicion: 0, at: now, unreachableInARow: 0, excludedUntil: -Infinity, isOnTrial: false }
    }
    known.suspicion *= decay(now - known.at)
    known.at = now
    return known
  }
}

function decay (age: Milliseconds): number {
  return 0.5 ** (Math.max(0, age) / HALF_LIFE)
}
