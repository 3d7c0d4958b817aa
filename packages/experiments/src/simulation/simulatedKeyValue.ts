/** Simulates the platform's key-value service in virtual time, with delays, outages, lost answers and late writes. */
import {
  ABSENT_REVISION, NO_ERA,
  type CompareAndSwap, type CompareAndSwapOutcome, type Milliseconds, type SeededRandom, type VersionedValue
} from '@wasabihead/coordination'
import type { VirtualTime } from './virtualTime.js'

/** Injected faults. Shares are probabilities from 0 to 1. */
export interface KeyValueFaults {
  isDown: boolean
  /** Maximum one-way delay of a call. */
  maximumDelay: Milliseconds
  /** Share of calls that take effect but whose answer is lost. */
  lostAnswerShare: number
  /** Share of calls that are lost before they take effect. */
  lostCallShare: number
  /** Share of writes that take effect only after their caller has timed out. */
  lateWriteShare: number
}

/**
 * Outcome of a call: its result with the era in which it took effect, a refusal that had no effect, or a timeout, after which
 * the effect is unknown.
 */
export type SimulatedAnswer<Value> = { kind: 'answered', value: Value, era: number } | { kind: 'refused' } | { kind: 'no-answer' }

/** Settings of a service without faults. */
export const FAULTLESS: KeyValueFaults = {
  isDown: false, maximumDelay: 5, lostAnswerShare: 0, lostCallShare: 0, lateWriteShare: 0
}

/** Time after which a call without an answer ends as `no-answer`. */
export const CALL_TIMEOUT: Milliseconds = 2_000

const MAXIMUM_LATE_WRITE_DELAY: Milliseconds = 20_000

/** A simulated key-value service. Calls return through callbacks in virtual time. */
export class SimulatedKeyValue {
  faults: KeyValueFaults = FAULTLESS
  private _revision = ABSENT_REVISION
  private _entries = new Map<string, VersionedValue>()
  private _era = NO_ERA
  private readonly _copies: { at: Milliseconds, revision: number, entries: Map<string, VersionedValue> }[] = []
  private _reads = 0
  private _writes = 0
  private _bytesWritten = 0

  constructor (private readonly _time: VirtualTime, private readonly _random: SeededRandom) {}

  /** Numbers of calls and bytes of written values so far. */
  get counts (): { reads: number, writes: number, bytesWritten: number } {
    return { reads: this._reads, writes: this._writes, bytesWritten: this._bytesWritten }
  }

  /** Keeps a copy to which `restore` may return. */
  keepCopy (): void {
    this._copies.push({ at: this._time.now, revision: this._revision, entries: new Map(this._entries) })
  }

  /** Comes back from the newest copy that is at least this old, in a new era. Revisions are given out again. */
  restore (age: Milliseconds): void {
    const copy = this._copies.findLast(({ at }) => at <= this._time.now - age)
    this._era += 1
    this._revision = copy?.revision ?? ABSENT_REVISION
    this._entries = new Map(copy?.entries)
    this._copies.length = 0
  }

  /** Reads the stored value directly, without a simulated call. */
  peek (key: string): VersionedValue | undefined {
    return this._entries.get(key)
  }

  /** The stored keys, without a simulated call. */
  keys (): string[] {
    return [...this._entries.keys()]
  }

  /** Reads one key. */
  read (key: string, answered: (answer: SimulatedAnswer<VersionedValue | undefined>) => void): void {
    this._reads += 1
    this._call(() => this._entries.get(key), false, answered)
  }

  /** Reads all keys under a prefix, in key order. */
  list (prefix: string, answered: (answer: SimulatedAnswer<VersionedValue[]>) => void): void {
    this._reads += 1
    const read = (): VersionedValue[] => [...this._entries.values()]
      .filter(entry => entry.key.startsWith(prefix))
      .sort((left, right) => left.key < right.key ? -1 : 1)
    this._call(read, false, answered)
  }

  /** Writes one key by compare-and-swap. */
  compareAndSwap (write: CompareAndSwap, answered: (answer: SimulatedAnswer<CompareAndSwapOutcome>) => void): void {
    this._writes += 1
    this._bytesWritten += write.value.length
    this._call(() => this._swap(write), true, answered)
  }

  /** Removes one key by compare-and-swap. */
  remove (key: string, expectedRevision: number, answered: (answer: SimulatedAnswer<CompareAndSwapOutcome>) => void): void {
    this._writes += 1
    this._call((): CompareAndSwapOutcome => {
      if (this._entries.get(key)?.revision !== expectedRevision) return { kind: 'lost' }
      this._entries.delete(key)
      this._revision += 1
      return { kind: 'won', revision: this._revision }
    }, true, answered)
  }

  private _swap (write: CompareAndSwap): CompareAndSwapOutcome {
    const current = this._entries.get(write.key)?.revision ?? ABSENT_REVISION
    if (current !== write.expectedRevision) return { kind: 'lost' }
    this._revision += 1
    this._entries.set(write.key, { key: write.key, value: write.value, revision: this._revision })
    return { kind: 'won', revision: this._revision }
  }

  private _call<Value> (perform: () => Value, isWrite: boolean, answered: (answer: SimulatedAnswer<Value>) => void): void {
    const { faults } = this
    if (faults.isDown) return this._time.after(this._delay(), () => { answered({ kind: 'refused' }) })
    if (this._happens(faults.lostCallShare)) return this._timeOut(answered)
    if (isWrite && this._happens(faults.lateWriteShare)) {
      this._time.after(CALL_TIMEOUT + this._random.next() * MAXIMUM_LATE_WRITE_DELAY, () => { perform() })
      return this._timeOut(answered)
    }
    const isAnswerLost = this._happens(faults.lostAnswerShare)
    this._time.after(this._delay(), () => {
      const value = perform()
      const era = this._era
      if (!isAnswerLost) this._time.after(this._delay(), () => { answered({ kind: 'answered', value, era }) })
    })
    if (isAnswerLost) this._timeOut(answered)
  }

  private _timeOut<Value> (answered: (answer: SimulatedAnswer<Value>) => void): void {
    this._time.after(CALL_TIMEOUT, () => { answered({ kind: 'no-answer' }) })
  }

  private _delay (): Milliseconds {
    return this._random.next() * this.faults.maximumDelay
  }

  private _happens (share: number): boolean {
    return this._random.next() < share
  }
}
