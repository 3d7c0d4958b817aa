/**
 * Answers that are too large for a record are kept in chunks beside the log. The chunks are written before the record that
 * names them. Their name holds the attempt and the contents' digest, so no two writers ever put different text under one key.
 */
import { contentDigest } from '../common/index.js'
import type { KeptAnswer, StoredAnswer } from './messages.js'

/** Sizes of kept answers, in UTF-16 code units, each of which takes at most three bytes. */
export interface AnswerLimits {
  /** An answer up to this size is kept in its record, which is written again with each group commit. */
  recordMaximumLength: number
  /** Size of one chunk; the service holds values up to a megabyte. */
  chunkLength: number
  /** An answer of more chunks goes to the caller who waits and is not kept. */
  maximumChunks: number
}

/** The limits that instances use. */
export const ANSWER_LIMITS: AnswerLimits = { recordMaximumLength: 16_384, chunkLength: 196_608, maximumChunks: 32 }

const FIRST_LOW_SURROGATE = 0xDC00
const LAST_LOW_SURROGATE = 0xDFFF

/** The chunks of a body. A pair of surrogates is never divided, since half of one has no UTF-8 form. */
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

/** What a record says of an answer in chunks. */
export function describeAnswer (attemptToken: string, answer: KeptAnswer, chunks: readonly string[]): StoredAnswer {
  const digest = contentDigest(answer.body)
  return { name: `${attemptToken.replaceAll('/', '.')}.${digest}`, status: answer.status, digest, chunkCount: chunks.length }
}

/** The whole answer; `undefined` where a chunk is missing or is not what was recorded. */
export function joinAnswer (stored: StoredAnswer, chunks: ReadonlyArray<string | undefined>): KeptAnswer | undefined {
  const body = chunks.join('')
  const isWhole = chunks.length === stored.chunkCount && contentDigest(body) === stored.digest
  return isWhole ? { status: stored.status, body } : undefined
}

function isLowSurrogate (text: string, index: number): boolean {
  const code = text.charCodeAt(index)
  return code >= FIRST_LOW_SURROGATE && code <= LAST_LOW_SURROGATE
}
