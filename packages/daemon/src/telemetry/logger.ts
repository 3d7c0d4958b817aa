/** Structured logs: one JSON object a line. Prompt text and tokens are never passed to the logger. */
import winston from 'winston'

/** Fields that tie a log line to a request. */
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

  /** @param host name of this host, on every line */
  constructor (host: string, level: string) {
    this._winston = winston.createLogger({
      level,
      defaultMeta: { host },
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })]
    })
  }

  /** Notes normal progress. */
  info (message: string, fields: LogFields = {}): void {
    this._winston.info(message, fields)
  }

  /** Notes something that the system handled but an operator may want to see. */
  warn (message: string, fields: LogFields = {}): void {
    this._winston.warn(message, fields)
  }

  /** Notes a failure that needs a person. */
  error (message: string, fields: LogFields = {}): void {
    this._winston.error(message, fields)
  }

  /** Notes detail. */
  debug (message: string, fields: LogFields = {}): void {
    this._winston.debug(message, fields)
  }
}
