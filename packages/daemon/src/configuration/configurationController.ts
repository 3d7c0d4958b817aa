/** Performs the effects of the configuration decisions: watches, fetches from peers, and operators' changes. */
import { Result } from 'true-myth'
import { v4 as createToken } from 'uuid'
import { parse as parseYaml } from 'yaml'
import {
  checkDocumentSource, ConfigurationChangeAttempt, ConfigurationSpread, contentDigest, DOCUMENT_PARSER_OPTIONS,
  InvalidDocumentError, PlatformRefusedError,
  type ChangeEffect, type ChangeMessage, type ChangeOutcome, type ConfigurationDocument, type ConfigurationRecord,
  type ConfigurationState, type KeyValueService, type MemberTable, type Milliseconds, type PlatformError, type SeededRandom,
  type SpreadEffect, type SpreadMessage, type StoredConfiguration, type Watch
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { Logger } from '../telemetry/index.js'
import type { ConfigurationPeerClient } from './configurationPeers.js'
import { ConfigurationStore, HISTORY_LENGTH } from './configurationStore.js'
import { ConfigurationConflictError, OutcomeUnknownError, PromotionMismatchError, type ApplyError } from './errors.js'

const TICK_INTERVAL: Milliseconds = 250
const MAXIMUM_RECORD_BYTES = 1_000_000

/** A change as an operator asks for it. */
export interface ConfigurationChange {
  source: string
  /** The revision that the operator saw, or 0 for none. */
  expectedRevision: number
  author: string
  /** Given when a change whose outcome was unknown is sent again. */
  changeToken?: string | undefined
  promotedFrom?: ConfigurationRecord['promotedFrom']
}

/** What a keeper works with. */
export interface ConfigurationKeeperParts {
  environment: string
  keyValue: KeyValueService
  members: MemberTable
  peers: ConfigurationPeerClient
  clock: Clock
  random: SeededRandom
  logger: Logger
  /** Called with each configuration that comes into force here. */
  inForce: (configuration: StoredConfiguration) => void
}

/** Keeps one instance's configuration. */
export class ConfigurationKeeper {
  private readonly _store: ConfigurationStore
  private readonly _spread: ConfigurationSpread
  private _document: ConfigurationDocument | undefined
  private _watch: Watch | undefined
  private _timer: NodeJS.Timeout | undefined

  constructor (private readonly _parts: ConfigurationKeeperParts) {
    this._store = new ConfigurationStore(_parts.environment, _parts.keyValue)
    this._spread = new ConfigurationSpread(_parts.random)
  }

  /** The checked document in force, if any. */
  get document (): ConfigurationDocument | undefined {
    return this._document
  }

  /** The document for new work; undefined where none is in force or nothing confirms that it is up to date. */
  get documentForNewWork (): ConfigurationDocument | undefined {
    return this._spread.mayTakeWork(this._parts.clock.monotonic()) ? this._document : undefined
  }

  /** The record in force and when it was last confirmed. */
  get state (): ConfigurationState {
    return this._spread.state
  }

  /** Reads the service once, and from then on watches or learns from peers. */
  async start (): Promise<void> {
    await this._readCurrent()
    this._timer = setInterval(() => { this._tick() }, TICK_INTERVAL)
  }

  /** Stops watching and learning. */
  stop (): void {
    clearInterval(this._timer)
    this._watch?.stop()
  }

  /** Takes the revision that a peer told of itself, with the start of the call that it answers, if it was asked. */
  seeRevision (host: string, revision: number, askedAt: Milliseconds | undefined): void {
    this._handle({ kind: 'revision-seen', host, revision, askedAt })
  }

  /** Accepts an operator's change, or refuses it whole. */
  async apply (change: ConfigurationChange): Promise<Result<ConfigurationRecord, ApplyError>> {
    const document = checkSource(change.source)
    if (document.isErr) return Result.err(document.error)
    const record = toRecord(change, this._parts.clock.wall())
    const { promotedFrom } = change
    if (promotedFrom !== undefined && promotedFrom.digest !== record.digest) {
      return Result.err(new PromotionMismatchError(promotedFrom.environment, record.digest))
    }
    const bytes = Buffer.byteLength(JSON.stringify(record))
    if (bytes > MAXIMUM_RECORD_BYTES) return Result.err(new InvalidDocumentError([tooLong(bytes)]))
    const attempt = new ConfigurationChangeAttempt(record, change.changeToken !== undefined)
    return await this._finish(await this._perform(attempt))
  }

  /** The latest accepted records, newest first. */
  async readHistory (): Promise<Result<ConfigurationRecord[], PlatformError>> {
    const records: ConfigurationRecord[] = []
    const current = await this._store.readCurrent()
    if (current.isErr) return Result.err(current.error)
    if (current.value.record !== undefined) records.push(current.value.record)
    const newest = current.value.record?.revision ?? 0
    for (let revision = newest - 1; revision > Math.max(0, newest - HISTORY_LENGTH); revision--) {
      const read = await this._store.readHistory(revision)
      if (read.isErr) return Result.err(read.error)
      if (read.value !== undefined) records.push(read.value)
    }
    return Result.ok(records)
  }

  /** One accepted record. */
  async readRevision (revision: number): Promise<Result<ConfigurationRecord | undefined, PlatformError>> {
    if (this.state.current?.revision === revision) return Result.ok(this.state.current)
    return await this._store.readHistory(revision)
  }

  private async _perform (attempt: ConfigurationChangeAttempt): Promise<ChangeOutcome> {
    let effect = attempt.handle({ kind: 'start' }, this._parts.clock.monotonic())
    while (effect.kind !== 'finish') {
      const message = await this._performOne(effect)
      effect = attempt.handle(message, this._parts.clock.monotonic())
    }
    return effect.outcome
  }

  private async _performOne (effect: Exclude<ChangeEffect, { kind: 'finish' }>): Promise<ChangeMessage> {
    switch (effect.kind) {
      case 'read-current':
        return toMessage(await this._store.readCurrent(), current => ({ kind: 'current-read', current }))
      case 'read-history':
        return toMessage(await this._store.readHistory(effect.revision), record => ({ kind: 'history-read', record }))
      case 'keep-history':
        return toMessage(await this._store.keepHistory(effect.record), () => ({ kind: 'history-kept' }))
      case 'write':
        return toMessage(
          await this._store.write(effect.record, effect.expectedRevision), outcome => ({ kind: 'written', outcome }))
      case 'wait':
        await new Promise(resolve => { setTimeout(resolve, effect.delay) })
        return { kind: 'retry' }
    }
  }

  private async _finish (outcome: ChangeOutcome): Promise<Result<ConfigurationRecord, ApplyError>> {
    switch (outcome.kind) {
      case 'conflict': return Result.err(new ConfigurationConflictError(outcome.current))
      case 'unknown': return Result.err(new OutcomeUnknownError(outcome.changeToken))
      case 'refused': return Result.err(new PlatformRefusedError(
        'The key-value service took no change, and this one will not come into force', 'Apply it again when the service answers'))
      case 'accepted':
        this._handle({ kind: 'service-told', record: outcome.record })
        this._keepAccepted(outcome.record).catch(() => {})
        return Result.ok(outcome.record)
    }
  }

  /** Failures are mended by the next writer, who keeps this record before replacing it. */
  private async _keepAccepted (record: ConfigurationRecord): Promise<void> {
    await this._store.keepHistory(record)
    await this._store.trimHistory(record.revision)
  }

  private _tick (): void {
    const { members } = this._parts
    this._handle({ kind: 'tick', self: members.self, members: members.members })
  }

  private _handle (message: SpreadMessage): void {
    for (const effect of this._spread.handle(message, this._parts.clock.monotonic())) this._performSpread(effect)
  }

  private _performSpread (effect: SpreadEffect): void {
    switch (effect.kind) {
      case 'start-watch': return this._startWatch()
      case 'stop-watch': return this._watch?.stop()
      case 'read-current':
        this._readCurrent().catch(() => {})
        return
      case 'read-history':
        this._read(async () => await this._store.readHistory(effect.revision)).catch(() => {})
        return
      case 'fetch':
        this._fetch(effect.host, effect.knownRevision).catch(() => { this._handle({ kind: 'fetch-failed', host: effect.host }) })
        return
      case 'in-force': return this._putInForce(effect.record)
    }
  }

  private _startWatch (): void {
    this._watch?.stop()
    this._watch = this._store.watch(record => {
      if (record !== undefined) this._handle({ kind: 'service-told', record })
    }, () => { this._handle({ kind: 'watch-ended' }) })
  }

  private async _readCurrent (): Promise<void> {
    await this._read(async () => (await this._store.readCurrent()).map(current => current.record))
  }

  private async _read (start: () => Promise<Result<ConfigurationRecord | undefined, PlatformError>>): Promise<void> {
    const askedAt = this._parts.clock.monotonic()
    const read = await start()
    if (read.isOk) this._handle({ kind: 'service-told', record: read.value, askedAt })
  }

  private async _fetch (host: string, knownRevision: number): Promise<void> {
    const peer = this._parts.members.find(host)
    const askedAt = this._parts.clock.monotonic()
    const fetched = peer === undefined ? undefined : await this._parts.peers.fetch(peer.peerAddress, knownRevision)
    if (fetched === undefined || fetched.isErr) return this._handle({ kind: 'fetch-failed', host })
    this._handle({ kind: 'fetched', host, record: fetched.value, askedAt })
  }

  private _putInForce (record: ConfigurationRecord): void {
    const { revision, digest } = record
    const checked = checkSource(record.source)
    if (checked.isErr) {
      this._parts.logger.error('an accepted configuration is not understood by this version', {
        revision, digest, problem: checked.error.problem
      })
      return
    }
    this._document = checked.value
    this._parts.logger.info('configuration in force', { revision, digest })
    this._parts.inForce({ ...record, document: checked.value })
  }
}

/** Parses and checks a document's source text, YAML or JSON. */
export function checkSource (source: string): Result<ConfigurationDocument, InvalidDocumentError> {
  return checkDocumentSource(source, text => parseYaml(text, DOCUMENT_PARSER_OPTIONS))
}

function toMessage<Value> (result: Result<Value, PlatformError>, answered: (value: Value) => ChangeMessage): ChangeMessage {
  if (result.isOk) return answered(result.value)
  return { kind: 'failed', failure: result.error instanceof PlatformRefusedError ? 'refused' : 'ambiguous' }
}

function toRecord (change: ConfigurationChange, wall: Milliseconds): ConfigurationRecord {
  return {
    revision: change.expectedRevision + 1,
    changeToken: change.changeToken ?? createToken(),
    digest: contentDigest(change.source),
    source: change.source,
    author: change.author,
    appliedAt: new Date(wall).toISOString(),
    ...(change.promotedFrom === undefined ? {} : { promotedFrom: change.promotedFrom })
  }
}

function tooLong (bytes: number): { path: string, problem: string } {
  return { path: '(document)', problem: `it takes ${bytes} bytes as stored, more than the ${MAXIMUM_RECORD_BYTES} allowed` }
}
