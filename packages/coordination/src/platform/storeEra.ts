/** Which era of a key-value service its answers belong to. */
import { NO_ERA } from './keyValueService.js'

/** An answer belongs to the current era, is the first one of another era, or is a late one of an earlier era. */
export type EraVerdict = 'current' | 'changed' | 'late'

/** The era of a service, as its answers state it. */
export class StoreEra {
  private _current = NO_ERA

  /** The era of the last answer that was not late; `NO_ERA` until one has stated its era. */
  get current (): number {
    return this._current
  }

  /**
   * Classifies an answer.
   * @param stated the era that the answer states; undefined if it states none
   * @param currentWhenSent `current` at the time at which the request was sent
   */
  onAnswer (stated: number | undefined, currentWhenSent: number): EraVerdict {
    if (stated === undefined || stated === this._current) return 'current'
    // The service does not go back to an era, but the answer to a request that was sent during it may arrive late.
    if (stated < this._current && currentWhenSent < this._current) return 'late'
    this._current = stated
    return 'changed'
  }
}
