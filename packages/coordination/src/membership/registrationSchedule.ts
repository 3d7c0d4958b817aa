/** When an instance reads the list of registrations, which tells it of members that gossip has not. */
import type { Milliseconds, SeededRandom } from '../common/index.js'

const ROUND_INTERVAL: Milliseconds = 2_000
const LIST_INTERVAL: Milliseconds = 300_000

/** Decides for one instance. */
export class RegistrationSchedule {
  private _nextListAt: Milliseconds = 0

  /** @param _random spreads the reads of a fleet that started together */
  constructor (private readonly _random: SeededRandom) {}

  /** Time until the next look at what is due. */
  nextRoundDelay (): Milliseconds {
    return this._jittered(ROUND_INTERVAL)
  }

  /** Whether the list has to be read now. */
  isListDue (liveMembers: number, now: Milliseconds): boolean {
    // Nobody can tell an instance of the others that knows no other live one, and nobody may know of it.
    return liveMembers <= 1 || now >= this._nextListAt
  }

  /** Notes that the list was read. */
  listed (now: Milliseconds): void {
    this._nextListAt = now + this._jittered(LIST_INTERVAL)
  }

  private _jittered (interval: Milliseconds): Milliseconds {
    return interval * (0.75 + 0.5 * this._random.next())
  }
}
