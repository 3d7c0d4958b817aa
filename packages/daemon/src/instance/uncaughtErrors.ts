/** Process-wide handlers of unhandled rejections and uncaught exceptions. */
import type { Logger } from '../telemetry/index.js'

const EXIT_FAILED = 1
const CONNECTION_FAILURES = new Set(['ECONNRESET', 'EPIPE', 'ECONNREFUSED', 'ETIMEDOUT', 'ERR_STREAM_PREMATURE_CLOSE'])

/**
 * Unhandled rejections and errors of broken connections are logged, and the process continues: decisions are synchronous,
 * so these cannot interrupt one. Any other exception may have interrupted a decision. The process then exits, and other
 * instances take over from the state in the platform's key-value service.
 */
export function handleUncaughtErrors (logger: Logger): void {
  process.on('unhandledRejection', reason => { logger.error('unhandled promise rejection', { problem: describe(reason) }) })
  process.on('uncaughtException', error => {
    const isConnectionFailure = CONNECTION_FAILURES.has(String((error as NodeJS.ErrnoException).code))
    logger.error(isConnectionFailure ? 'connection error' : 'uncaught exception; exiting', { problem: describe(error) })
    if (!isConnectionFailure) process.exit(EXIT_FAILED)
  })
}

/** The error's name and location only, since its message may contain text of a caller. */
function describe (reason: unknown): string {
  if (!(reason instanceof Error)) return typeof reason
  return `${reason.name} ${reason.stack?.split('\n').find(line => line.trim().startsWith('at ')) ?? ''}`.trim()
}
