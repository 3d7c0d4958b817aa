/** Performs the effects of the configuration decisions: watches, fetches from peers, and changes by operators. */
import { Result } from 'true-myth'
import { v4 as createToken } from 'uuid'
import { parse as parseYaml } from 'yaml'
import {
  checkDocumentSource, ConfigurationChangeAttempt, ConfigurationPropagation, contentDigest, DOCUMENT_PARSER_OPTIONS,
  InvalidDocumentError, PlatformRefusedError,
  type ChangeEffect, type ChangeMessage, type ChangeOutcome, type ConfigurationDocument, type ConfigurationRecord,
  type ConfigurationState, type KeyValueService, type MemberTable, type Milliseconds, type PlatformError, type SeededRandom,
  type PropagationEffect, type PropagationMessage, type CheckedConfiguration, type Watch
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { Logger } from '../telemetry/index.js'
import type { ConfigurationPeerClient } from './configurationPeers.js'
import { ConfigurationStore, HISTORY_LENGTH } from './configurationStore.js'
import { ConfigurationConflictError, OutcomeUnknownError, PromotionMismatchError, type ApplyError } from './errors.js'

const TICK_INTERVAL: Milliseconds = 250
const MAXIMUM_RECORD_BYTES = 1_000_000

/** A change that an operator requests. */
export interface ConfigurationChange {
  source: string
  /** The revision that the change is based on, or 0 for none. */
  expectedRevision: number
  author: string
  /** Set when a change whose outcome was unknown is sent again. */
  changeToken?: string | undefined
  promotedFrom?: ConfigurationRecord['promotedFrom']
}

/** Dependencies of a `ConfigurationController`. */
export interface ConfigurationControllerDependencies {
  environment: string
  keyValue: KeyValueService
  members: MemberTable
  peers: ConfigurationPeerClient
  clock: Clock
  random: SeededRandom
  logger: Logger
  /** Called with each configuration that comes into force on this instance. */
  inForce: (configuration: CheckedConfiguration) => void
}

/** Keeps the configuration of one instance up to date, and writes operators' changes to the key-value service. */
export class ConfigurationController {
  private readonly _store: ConfigurationStore
  private readonly _propagation: ConfigurationPropagation
  private _document: ConfigurationDocument | undefined
  private _watch: Watch | undefined
  private _timer: NodeJS.Timeout | undefined

  constructor (private readonly _dependencies: ConfigurationControllerDependencies) {
    this._store = new ConfigurationStore(_dependencies.environment, _dependencies.keyValue)
    this._propagation = new ConfigurationPropagation(_dependencies.random)
  }

  /** The checked document in force, if any. */
  get document (): ConfigurationDocument | undefined {
    return this._document
  }

  /** The document for new requests; undefined if none is in force or it has not been confirmed as current recently enough. */
  get documentForNewWork (): ConfigurationDocument | undefined {
    return this._propagation.mayTakeWork(this._dependencies.clock.monotonic()) ? this._document : undefined
  }

  /** The record in force, and the time of its last confirmation. */
  get state (): ConfigurationState {
    return this._propagation.state
  }

  /** Reads the key-value service once; after that the configuration follows by a watch or from peers. */
  async start (): Promise<void> {
    await this._readCurrent()
    this._timer = setInterval(() => { this._tick() }, TICK_INTERVAL)
  }

  /** Stops the watch and the timer. */
  stop (): void {
    clearInterval(this._timer)
    this._watch?.stop()
  }

  /**
   * Records the revision that a peer reports as its own.
   *
   * @param askedAt start of the call that the peer answered; undefined if the report was not an answer
   */
  onRevisionSeen (host: string, revision: number, askedAt: Milliseconds | undefined): void {
    this._handle({ kind: 'revision-seen', host, revision, askedAt })
  }

  /** Checks a change and writes it to the key-value service; a change is accepted or refused as a whole. */
  async apply (change: ConfigurationChange): Promise<Result<ConfigurationRecord, ApplyError>> {
    const document = checkSource(change.source)
    if (document.isErr) return Result.err(document.error)
    const record = toRecord(change, this._dependencies.clock.wall())
    const { promotedFrom } = change
    if (promotedFrom !== undefined && promotedFrom.digest !== record.digest) {
      return Result.err(new PromotionMismatchError(promotedFrom.environment, record.digest))
    }
    const bytes = Buffer.byteLength(JSON.stringify(record))
    if (bytes > MAXIMUM_RECORD_BYTES) return Result.err(new InvalidDocumentError([recordTooLarge(bytes)]))
    const attempt = new ConfigurationChangeAttempt(record, change.changeToken !== undefined)
    return await this._finish(await this._runAttempt(attempt))
  }

  /** The accepted records that the history retains, newest first. */
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

  /** The accepted record with this revision; undefined if the history does not retain it. */
  async readRevision (revision: number): Promise<Result<ConfigurationRecord | undefined, PlatformError>> {
    if (this.state.current?.revision === revision) return Result.ok(this.state.current)
    return await this._store.readHistory(revision)
  }

  private async _runAttempt (attempt: ConfigurationChangeAttempt): Promise<ChangeOutcome> {
    let effect = attempt.handle({ kind: 'start' }, this._dependencies.clock.monotonic())
    while (effect.kind !== 'finish') {
      const message = await this._performChange(effect)
      effect = attempt.handle(message, this._dependencies.clock.monotonic())
    }
    return effect.outcome
  }

  private async _performChange (effect: Exclude<ChangeEffect, { kind: 'finish' }>): Promise<ChangeMessage> {
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
        'The key-value service refused the change, which will not come into force', 'Apply it again when the service answers'))
      case 'accepted':
        this._handle({ kind: 'service-told', record: outcome.record })
        this._storeInHistory(outcome.record).catch(() => {})
        return Result.ok(outcome.record)
    }
  }

  /** A failure needs no retry: the next writer stores this record in the history before it replaces it. */
  private async _storeInHistory (record: ConfigurationRecord): Promise<void> {
    await this._store.keepHistory(record)
    await this._store.trimHistory(record.revision)
  }

  private _tick (): void {
    const { members } = this._dependencies
    this._handle({ kind: 'tick', self: members.self, members: members.members })
  }

  private _handle (message: PropagationMessage): void {
    for (const effect of this._propagation.handle(message, this._dependencies.clock.monotonic())) this._performPropagation(effect)
  }

  private _performPropagation (effect: PropagationEffect): void {
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
    const askedAt = this._dependencies.clock.monotonic()
    const read = await start()
    if (read.isOk) this._handle({ kind: 'service-told', record: read.value, askedAt })
  }

  private async _fetch (host: string, knownRevision: number): Promise<void> {
    const peer = this._dependencies.members.find(host)
    const askedAt = this._dependencies.clock.monotonic()
    const fetched = peer === undefined ? undefined : await this._dependencies.peers.fetch(peer.peerAddress, knownRevision)
    if (fetched === undefined || fetched.isErr) return this._handle({ kind: 'fetch-failed', host })
    this._handle({ kind: 'fetched', host, record: fetched.value, askedAt })
  }

  private _putInForce (record: ConfigurationRecord): void {
    const { revision, digest } = record
    const checked = checkSource(record.source)
    if (checked.isErr) {
      this._dependencies.logger.error('cannot read an accepted configuration; this version does not support it', {
        revision, digest, problem: checked.error.problem
      })
      return
    }
    this._document = checked.value
    this._dependencies.logger.info('configuration in force', { revision, digest })
    this._dependencies.inForce({ ...record, document: checked.value })
  }
}

/** Parses and checks the source text of a document, in YAML or JSON. */
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

function recordTooLarge (bytes: number): { path: string, problem: string } {
  return { path: '(document)', problem: `it needs ${bytes} bytes when stored, more than the maximum of ${MAXIMUM_RECORD_BYTES}` }
}
