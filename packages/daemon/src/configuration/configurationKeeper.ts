/** Keeps the configuration in force: writes changes, watches the service, and learns from peers. */
import { Result } from 'true-myth'
import { v4 as createToken } from 'uuid'
import { parse as parseYaml } from 'yaml'
import {
  ABSENT_REVISION, checkDocumentSource, ConfigurationState, contentDigest, DOCUMENT_PARSER_OPTIONS, PlatformRefusedError,
  RemediedError, storedConfigurationSchema,
  type ConfigurationDocument, type InvalidDocumentError, type KeyValueService, type PlatformError, type StoredConfiguration,
  type VersionedValue, type Watch
} from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import type { Logger } from '../telemetry/index.js'

const WATCH_RESTART_MILLISECONDS = 1_000

/** Another change was accepted first. */
export class ConfigurationConflictError extends RemediedError {
  readonly kind = 'configuration-conflict'

  constructor (readonly current: StoredConfiguration | undefined) {
    super(
      `Revision ${current?.revision ?? 0} is in force, not the one that this change was made against`,
      'Compare the two changes, make yours again on the revision in force, and apply it'
    )
  }
}

/** Why a change was not accepted. */
export type ApplyError = ConfigurationConflictError | InvalidDocumentError | PlatformError

/** A change as an operator asks for it. */
export interface ConfigurationChange {
  source: string
  /** The revision that the operator saw, or 0 for none. */
  expectedRevision: number
  author: string
  /** The same over all tries of one change, so that a try whose answer was lost is recognised. */
  changeToken?: string | undefined
}

/** Keeps one instance's configuration. */
export class ConfigurationKeeper {
  readonly state = new ConfigurationState()
  private _watch: Watch | undefined
  private _restartTimer: NodeJS.Timeout | undefined
  private _isStopped = false

  constructor (
    private readonly _environment: string,
    private readonly _keyValue: KeyValueService,
    private readonly _clock: Clock,
    private readonly _logger: Logger,
    private readonly _onChange: (configuration: StoredConfiguration) => void
  ) {}

  /** The checked document in force, if any. */
  get document (): ConfigurationDocument | undefined {
    return this.state.current?.document
  }

  /** Starts to watch the service. */
  async start (): Promise<void> {
    this._startWatch()
    await this._readService()
  }

  /** Stops watching. */
  stop (): void {
    this._isStopped = true
    clearTimeout(this._restartTimer)
    this._watch?.stop()
  }

  /** Takes a configuration that a peer told, as JSON. */
  learn (json: string): void {
    const parsed = storedConfigurationSchema.safeParse(JSON.parse(json))
    if (parsed.success) this._offer(parsed.data)
  }

  /** Accepts an operator's change, or refuses it whole. */
  async apply (change: ConfigurationChange): Promise<Result<StoredConfiguration, ApplyError>> {
    const document = checkSource(change.source)
    if (document.isErr) return Result.err(document.error)
    const read = await this._keyValue.read(this._key)
    if (read.isErr) return Result.err(read.error)
    const current = read.value === undefined ? undefined : storedConfigurationSchema.parse(JSON.parse(read.value.value))
    if (current !== undefined && current.changeToken === change.changeToken) return this._accept(current)
    if ((current?.revision ?? 0) !== change.expectedRevision) return Result.err(new ConfigurationConflictError(current))
    return await this._write(toStored(change, document.value, this._clock.wall()), read.value?.revision ?? ABSENT_REVISION)
  }

  private get _key (): string {
    return `wasabihead/${this._environment}/configuration`
  }

  private async _write (stored: StoredConfiguration, expectedRevision: number): Promise<Result<StoredConfiguration, ApplyError>> {
    const written = await this._keyValue.compareAndSwap({ key: this._key, value: JSON.stringify(stored), expectedRevision })
    if (written.isOk && written.value.kind === 'won') return this._accept(stored)
    if (written.isErr && written.error instanceof PlatformRefusedError) return Result.err(written.error)
    // The answer may have been lost after the write took effect: the change token tells.
    const read = await this._keyValue.read(this._key)
    if (read.isErr) return Result.err(read.error)
    const current = read.value === undefined ? undefined : storedConfigurationSchema.parse(JSON.parse(read.value.value))
    if (current?.changeToken === stored.changeToken) return this._accept(stored)
    if (written.isErr) return Result.err(written.error)
    return Result.err(new ConfigurationConflictError(current))
  }

  private _accept (stored: StoredConfiguration): Result<StoredConfiguration, ApplyError> {
    this._offer(stored)
    return Result.ok(stored)
  }

  private _offer (stored: StoredConfiguration): void {
    if (!this.state.offer(stored, this._clock.monotonic())) return
    this._logger.info('configuration in force', { revision: stored.revision, digest: stored.digest })
    this._onChange(stored)
  }

  private _startWatch (): void {
    this._watch = this._keyValue.watch(this._key, value => { this._take(value) }, () => { this._restartWatch() })
  }

  private _restartWatch (): void {
    if (this._isStopped) return
    this._restartTimer = setTimeout(() => { this.start().catch(() => {}) }, WATCH_RESTART_MILLISECONDS)
  }

  private async _readService (): Promise<void> {
    const read = await this._keyValue.read(this._key)
    if (read.isOk && read.value !== undefined) this._take(read.value)
  }

  private _take (value: VersionedValue): void {
    const parsed = storedConfigurationSchema.safeParse(JSON.parse(value.value))
    if (parsed.success) this._offer(parsed.data)
    else this._logger.error('the stored configuration is not understood', { problem: parsed.error.message })
  }
}

/** Parses and checks a document's source text, YAML or JSON. */
export function checkSource (source: string): Result<ConfigurationDocument, InvalidDocumentError> {
  return checkDocumentSource(source, text => parseYaml(text, DOCUMENT_PARSER_OPTIONS))
}

function toStored (change: ConfigurationChange, document: ConfigurationDocument, wall: number): StoredConfiguration {
  return {
    revision: change.expectedRevision + 1,
    changeToken: change.changeToken ?? createToken(),
    digest: contentDigest(change.source),
    source: change.source,
    document,
    author: change.author,
    appliedAt: new Date(wall).toISOString()
  }
}
