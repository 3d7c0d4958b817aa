/** Schedule for reading the list of registrations, which may contain members that have not been received by gossip. */
import type { Milliseconds, SeededRandom } from '../common/index.js'

const ROUND_INTERVAL: Milliseconds = 2_000
const LIST_INTERVAL: Milliseconds = 300_000

/** Schedule of one instance. */
export class RegistrationSchedule {
  private _nextListAt: Milliseconds = 0

  /** @param _random source of jitter, so that instances that started together do not read at the same time */
  constructor (private readonly _random: SeededRandom) {}

  /** Time until the caller checks again whether the list is due. */
  nextRoundDelay (): Milliseconds {
    return this._jittered(ROUND_INTERVAL)
  }

  /** Whether the list has to be read now. */
  isListDue (liveMembers: number, now: Milliseconds): boolean {
    // An instance without any other live member has no peer to receive gossip from, and may be unknown to all others.
    return liveMembers <= 1 || now >= this._nextListAt
  }

  /** Schedules the next read after the list has been read. */
  onListRead (now: Milliseconds): void {
    this._nextListAt = now + this._jittered(LIST_INTERVAL)
  }

  private _jittered (interval: Milliseconds): Milliseconds {
    return interval * (0.75 + 0.5 * this._random.next())
  }
}
