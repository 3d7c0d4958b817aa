/** Embeds the propagation of the configuration: processes fetch changed settings from each other. */
import {
  ConfigurationPropagation, contentDigest, SeededRandom,
  type ConfigurationRecord, type Member, type Milliseconds, type PropagationEffect, type PropagationMessage
} from '@wasabihead/coordination'

/** The settings in force in one process. */
export class SettingsProcess {
  private readonly _propagation: ConfigurationPropagation

  /**
   * @param member this process, as the other processes see it
   * @param _findPeer finds another process by its host
   */
  constructor (readonly member: Member, seed: number, private readonly _findPeer: (host: string) => SettingsProcess | undefined) {
    this._propagation = new ConfigurationPropagation(new SeededRandom(seed))
  }

  /** Source text of the settings in force; undefined before the first. */
  get source (): string | undefined {
    return this._propagation.state.current?.source
  }

  /** Puts a change in force that the store has accepted. */
  accept (record: ConfigurationRecord, now: Milliseconds): void {
    this._handle({ kind: 'service-told', record }, now)
  }

  /** Receives the revision of another process, and fetches its settings if they are newer. */
  receiveRevision (other: SettingsProcess, now: Milliseconds): void {
    this._handle({ kind: 'tick', self: this.member, members: [this.member, other.member] }, now)
    const { revision } = other._propagation.state.version
    this._handle({ kind: 'revision-seen', host: other.member.host, revision, askedAt: now }, now)
  }

  private _handle (message: PropagationMessage, now: Milliseconds): void {
    for (const effect of this._propagation.handle(message, now)) this._perform(effect, now)
  }

  private _perform (effect: PropagationEffect, now: Milliseconds): void {
    if (effect.kind !== 'fetch') return
    const record = this._findPeer(effect.host)?._propagation.state.current
    this._handle({ kind: 'fetched', host: effect.host, record, askedAt: now }, now)
  }
}

/** Creates the record of an accepted change, as the store holds it. */
export function createRecord (revision: number, source: string): ConfigurationRecord {
  const digest = contentDigest(source)
  return { revision, changeToken: `change-${revision}`, digest, source, author: 'example', appliedAt: new Date(0).toISOString() }
}
