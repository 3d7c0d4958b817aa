/** Structured logs on stderr, one JSON object per line. Prompt text and tokens must never be passed to the logger. */
import winston from 'winston'

/** Fields of a log line; the named ones relate it to a request. */
export interface LogFields {
  requestId?: string
  workspace?: string
  requestKind?: string
  attempt?: number
  [field: string]: string | number | boolean | undefined
}

/** Writes structured logs. */
export class Logger {
  private readonly _winston: winston.Logger

  /** @param host name of this host, written to every line */
  constructor (host: string, level: string) {
    this._winston = winston.createLogger({
      level,
      defaultMeta: { host },
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })]
    })
  }

  /** Logs normal progress. */
  info (message: string, fields: LogFields = {}): void {
    this._winston.info(message, fields)
  }

  /** Logs a problem that the system has handled, but that may interest an operator. */
  warn (message: string, fields: LogFields = {}): void {
    this._winston.warn(message, fields)
  }

  /** Logs a failure that needs an operator's attention. */
  error (message: string, fields: LogFields = {}): void {
    this._winston.error(message, fields)
  }

  /** Logs details for debugging. */
  debug (message: string, fields: LogFields = {}): void {
    this._winston.debug(message, fields)
  }
}
