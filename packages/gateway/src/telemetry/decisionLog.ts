/** Structured logs: one JSON object per line on standard output, with bounded rate and buffer; a slow reader never blocks. */
import pino from 'pino'

/** Fields of a log line; undefined ones are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Describes a thrown value for the log, with its stack if it has one. */
export function describeFailure (error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error)
}

/** Settings of the log. */
export interface DecisionLogSettings {
  host: string
  level: string
  /** Maximum lines of decisions for each event in a second; further ones are counted and omitted. */
  linesPerSecond: number
}

/** Limit on bytes buffered for a slow reader; further lines are dropped. */
const MAXIMUM_BUFFERED_BYTES = 262_144
const BATCH_BYTES = 4_096

/** The log of this process. */
export class DecisionLog {
  private readonly _destination = pino.destination({
    dest: 1, sync: false, minLength: BATCH_BYTES, maxLength: MAXIMUM_BUFFERED_BYTES
  })

  private readonly _pino: pino.Logger
  private readonly _writtenLines = new Map<string, number>()
  private readonly _omittedLines = new Map<string, number>()

  constructor (private readonly _settings: DecisionLogSettings) {
    this._pino = pino({ level: _settings.level, base: { host: _settings.host }, messageKey: 'event' }, this._destination)
  }

  /** Logs a decision, such as one about a request, within the rate limit of its event. */
  decision (event: string, fields: LogFields): void {
    const written = this._writtenLines.get(event) ?? 0
    if (written >= this._settings.linesPerSecond) {
      this._omittedLines.set(event, (this._omittedLines.get(event) ?? 0) + 1)
      return
    }
    this._writtenLines.set(event, written + 1)
    this._pino.info(fields, event)
  }

  /** Logs a change of observed state, a start or stop, or a dependency lost or regained; without a rate limit. */
  change (event: string, fields: LogFields = {}): void {
    this._pino.info(fields, event)
  }

  /** Logs a failure that was handled; without a rate limit. */
  warn (event: string, fields: LogFields = {}): void {
    this._pino.warn(fields, event)
  }

  /**
   * Lets a task run in the background and logs its rejection.
   * @param what name of the task, for the log
   */
  detach (what: string, work: Promise<unknown>): void {
    work.catch((error: unknown) => { this.warn('unhandled-failure', { what, detail: describeFailure(error) }) })
  }

  /** To be called each second: logs how many lines were omitted, resets the rate limit and flushes the buffer. */
  tick (): void {
    for (const [omittedEvent, count] of this._omittedLines) this._pino.info({ omittedEvent, count }, 'log-lines-omitted')
    this._omittedLines.clear()
    this._writtenLines.clear()
    this._destination.flush()
  }

  /** Flushes the buffer synchronously, before the process exits. */
  close (): void {
    this._destination.flushSync()
  }
}
