/** Decides what becomes of the requests of an instance that stops: which ones are still sent, and when the others are ended. */
import type { Milliseconds } from '../common/index.js'

/** Settings of a graceful stop; all times count from its signal. */
export interface GracefulStopSettings {
  /** Callers that do not know yet that the instance is leaving may connect and send requests for this long. */
  acceptFor: Milliseconds
  /** Requests whose answer has not begun by then get one from the instance itself. */
  answerWithin: Milliseconds
  /** The process exits after this time even if streams have not ended or callers have not read their answers. */
  timeout: Milliseconds
}

/** How far a stop has come. */
export type StopPhase =
  /** No stop has begun. */
  | 'none'
  /** New requests are still served. */
  | 'accepting'
  /** New requests are refused; those that were sent to replicas are completed. */
  | 'completing'
  /** Only answers that have begun are completed, and written out. */
  | 'ending'
  /** The process must exit. */
  | 'over'

/** State of a request that is about to be sent. */
export interface UnsentRequest {
  /** Number of replicas on which it may have run so far. */
  possibleRuns: number
  /** Time within which an answer is expected. */
  objective: Milliseconds
}

/** The stop of one instance. */
export class GracefulStop {
  private _begunAt: Milliseconds | undefined

  constructor (private readonly _settings: GracefulStopSettings) {}

  /** Begins the stop. */
  begin (now: Milliseconds): void {
    this._begunAt ??= now
  }

  phase (now: Milliseconds): StopPhase {
    if (this._begunAt === undefined) return 'none'
    const elapsed = now - this._begunAt
    const { acceptFor, answerWithin, timeout } = this._settings
    if (elapsed < acceptFor) return 'accepting'
    if (elapsed < answerWithin) return 'completing'
    return elapsed < timeout ? 'ending' : 'over'
  }

  /**
   * Whether a request may be sent to a replica or a peer now. One that has not run is refused once new ones are, since its caller
   * can send it to another instance; one that may have run is tried once more if an answer can be expected in time.
   */
  maySend ({ possibleRuns, objective }: UnsentRequest, now: Milliseconds): boolean {
    switch (this.phase(now)) {
      case 'none':
      case 'accepting': return true
      case 'completing': return possibleRuns > 0 && this.phase(now + objective) === 'completing'
      case 'ending':
      case 'over': return false
    }
  }

  /** Whether a request that was sent may still wait for its replica. An answer that has begun can only be broken off. */
  mayWait (hasBegunAnswer: boolean, now: Milliseconds): boolean {
    switch (this.phase(now)) {
      case 'none':
      case 'accepting':
      case 'completing': return true
      case 'ending': return hasBegunAnswer
      case 'over': return false
    }
  }
}
