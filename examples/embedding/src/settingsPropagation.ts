/** Processes that learn a changed setting from each other: the configuration spread, embedded. */
import {
  ConfigurationSpread, contentDigest, SeededRandom,
  type ConfigurationRecord, type Member, type Milliseconds, type SpreadEffect, type SpreadMessage
} from '@wasabihead/coordination'

/** One process that holds the settings in force. */
export class SettingsHolder {
  private readonly _spread: ConfigurationSpread

  /**
   * @param member this process, as the others know it
   * @param _peers finds another process by its host
   */
  constructor (readonly member: Member, seed: number, private readonly _peers: (host: string) => SettingsHolder | undefined) {
    this._spread = new ConfigurationSpread(new SeededRandom(seed))
  }

  /** The settings in force, as source text. */
  get source (): string | undefined {
    return this._spread.state.current?.source
  }

  /** Takes a change that was accepted by the store. */
  accept (record: ConfigurationRecord, now: Milliseconds): void {
    this._handle({ kind: 'service-told', record }, now)
  }

  /** Hears from another process; a higher revision there is fetched. */
  meet (other: SettingsHolder, now: Milliseconds): void {
    this._handle({ kind: 'tick', self: this.member, members: [this.member, other.member] }, now)
    const { revision } = other._spread.state.version
    this._handle({ kind: 'revision-seen', host: other.member.host, revision, askedAt: now }, now)
  }

  private _handle (message: SpreadMessage, now: Milliseconds): void {
    for (const effect of this._spread.handle(message, now)) this._perform(effect, now)
  }

  private _perform (effect: SpreadEffect, now: Milliseconds): void {
    if (effect.kind !== 'fetch') return
    const record = this._peers(effect.host)?._spread.state.current
    this._handle({ kind: 'fetched', host: effect.host, record, askedAt: now }, now)
  }
}

/** A record of a change, as the store keeps it. */
export function recordOf (revision: number, source: string): ConfigurationRecord {
  const digest = contentDigest(source)
  return { revision, changeToken: `change-${revision}`, digest, source, author: 'example', appliedAt: new Date(0).toISOString() }
}
