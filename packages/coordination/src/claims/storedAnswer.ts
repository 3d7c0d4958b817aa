/**
 * Answers that are too large for a record are stored in chunks outside the log. The chunks are written before the record that
 * names them. Their name contains the attempt and the contents' digest, so two writers never write different text to one key.
 */
import { contentDigest } from '../common/index.js'
import type { KeptAnswer, StoredAnswer } from './messages.js'

/** Sizes of kept answers. Lengths are in UTF-16 code units, each of which takes at most three bytes. */
export interface AnswerLimits {
  /** Longest answer that is kept in its record, which is written again with each group commit. */
  recordMaximumLength: number
  /** Length of one chunk; the service stores values of up to one megabyte. */
  chunkLength: number
  /** An answer of more chunks is returned to the waiting caller and not kept. */
  maximumChunks: number
}

/** The limits that instances use. */
export const ANSWER_LIMITS: AnswerLimits = { recordMaximumLength: 16_384, chunkLength: 196_608, maximumChunks: 32 }

const FIRST_LOW_SURROGATE = 0xDC00
const LAST_LOW_SURROGATE = 0xDFFF

/** Divides a body into chunks. A surrogate pair is never divided, since half of one cannot be encoded in UTF-8. */
export function divideAnswer (body: string, chunkLength: number): string[] {
  const chunks: string[] = []
  let start = 0
  while (start < body.length) {
    const end = Math.min(body.length, start + chunkLength)
    const next = isLowSurrogate(body, end) ? end - 1 : end
    chunks.push(body.slice(start, next))
    start = next
  }
  return chunks
}

/** The description of an answer in chunks, for its record. */
export function describeAnswer (attemptToken: string, answer: KeptAnswer, chunks: readonly string[]): StoredAnswer {
  const digest = contentDigest(answer.body)
  return { name: `${attemptToken.replaceAll('/', '.')}.${digest}`, status: answer.status, digest, chunkCount: chunks.length }
}

/** The whole answer; `undefined` where a chunk is missing or the contents don't match the recorded digest. */
export function joinAnswer (stored: StoredAnswer, chunks: ReadonlyArray<string | undefined>): KeptAnswer | undefined {
  const body = chunks.join('')
  const isWhole = chunks.length === stored.chunkCount && contentDigest(body) === stored.digest
  return isWhole ? { status: stored.status, body } : undefined
}

function isLowSurrogate (text: string, index: number): boolean {
  const code = text.charCodeAt(index)
  return code >= FIRST_LOW_SURROGATE && code <= LAST_LOW_SURROGATE
}
