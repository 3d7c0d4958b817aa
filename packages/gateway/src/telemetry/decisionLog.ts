/** Structured logs: one JSON object a line on standard output, bounded, and never waiting for their reader. */
import pino from 'pino'

/** Fields of a line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** What is logged of something that was thrown. */
export function describeFailure (error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error)
}

/** Settings of the log. */
export interface DecisionLogSettings {
  host: string
  level: string
  /** Lines of one event kept in a second; more are counted and left out. */
  linesPerSecond: number
}

/** Bytes that wait for a slow reader; what comes beyond is dropped. */
const MAXIMUM_WAITING_BYTES = 262_144
const BATCH_BYTES = 4_096

/** Writes the log. */
export class DecisionLog {
  private readonly _destination = pino.destination({
    dest: 1, sync: false, minLength: BATCH_BYTES, maxLength: MAXIMUM_WAITING_BYTES
  })

  private readonly _pino: pino.Logger
  private readonly _written = new Map<string, number>()
  private readonly _omitted = new Map<string, number>()

  constructor (private readonly _settings: DecisionLogSettings) {
    this._pino = pino({ level: _settings.level, base: { host: _settings.host }, messageKey: 'event' }, this._destination)
  }

  /** A decision about a request; bounded for each event. */
  decision (event: string, fields: LogFields): void {
    const written = this._written.get(event) ?? 0
    if (written >= this._settings.linesPerSecond) {
      this._omitted.set(event, (this._omitted.get(event) ?? 0) + 1)
      return
    }
    this._written.set(event, written + 1)
    this._pino.info(fields, event)
  }

  /** A changed belief, a start, a stop, a dependency lost or regained. */
  change (event: string, fields: LogFields = {}): void {
    this._pino.info(fields, event)
  }

  /** Something that went wrong and was handled. */
  warn (event: string, fields: LogFields = {}): void {
    this._pino.warn(fields, event)
  }

  /** Lets work go on by itself; a failure that it did not handle is logged. */
  detach (what: string, work: Promise<unknown>): void {
    work.catch((error: unknown) => { this.warn('unhandled-failure', { what, detail: describeFailure(error) }) })
  }

  /** Begins a new second: reports what was left out in the last one, and writes what waits. */
  tick (): void {
    for (const [omittedEvent, count] of this._omitted) this._pino.info({ omittedEvent, count }, 'log-lines-omitted')
    this._omitted.clear()
    this._written.clear()
    this._destination.flush()
  }

  /** Writes what waits before the process ends. */
  close (): void {
    this._destination.flushSync()
  }
}
