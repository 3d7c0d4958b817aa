/** What becomes of failures that nobody waits for. */
import type { Logger } from '../telemetry/index.js'

const EXIT_FAILED = 1
const CONNECTION_FAILURES = new Set(['ECONNRESET', 'EPIPE', 'ECONNREFUSED', 'ETIMEDOUT', 'ERR_STREAM_PREMATURE_CLOSE'])

/**
 * A rejected promise that nobody awaits, and a connection that breaks at a bad moment, are logged and survived: decisions
 * are synchronous, so none of them is half done. Any other exception may have left a decision half done; the process ends,
 * and others take over from what the platform's service holds.
 */
export function surviveStrayFailures (logger: Logger): void {
  process.on('unhandledRejection', reason => { logger.error('a failure that nobody awaited', { problem: describe(reason) }) })
  process.on('uncaughtException', error => {
    const isConnectionFailure = CONNECTION_FAILURES.has(String((error as NodeJS.ErrnoException).code))
    logger.error(isConnectionFailure ? 'a connection broke' : 'an exception that ends the process', { problem: describe(error) })
    if (!isConnectionFailure) process.exit(EXIT_FAILED)
  })
}

/** Kind and place alone: a message may carry a caller's text. */
function describe (reason: unknown): string {
  if (!(reason instanceof Error)) return typeof reason
  return `${reason.name} ${reason.stack?.split('\n').find(line => line.trim().startsWith('at ')) ?? ''}`.trim()
}
