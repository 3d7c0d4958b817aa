/** Checks the operators' document: length, schema, then references. A document is accepted or rejected as a whole. */
import { Result } from 'true-myth'
import type { z } from 'zod'
import {
  configurationDocumentSchema, MAXIMUM_DOCUMENT_BYTES, type ConfigurationDocument
} from './document.js'
import { InvalidDocumentError, type DocumentFault } from './errors.js'
import { findReferenceFaults } from './references.js'

const WHOLE_DOCUMENT = '(document)'
const PLAIN_FIELD_NAME = /^[\w-]+$/

/**
 * Checks a document's source text. All faults found by the first failing check are returned in one error.
 * @param parse returns the text's value or throws; it is expected to apply `DOCUMENT_PARSER_OPTIONS`
 */
export function checkDocumentSource (
  source: string, parse: (source: string) => unknown
): Result<ConfigurationDocument, InvalidDocumentError> {
  // The length is checked before parsing, so that no time is spent on parsing a text that is too long.
  const textBytes = Buffer.byteLength(source)
  if (textBytes > MAXIMUM_DOCUMENT_BYTES) return refuseLength(textBytes)
  let document: unknown
  try {
    document = parse(source)
  } catch (error) {
    const problem = `it is neither YAML nor JSON: ${firstLine(error)}`
    return Result.err(new InvalidDocumentError([{ path: WHOLE_DOCUMENT, problem }]))
  }
  return checkDocument(document, textBytes)
}

/** Checks a parsed document; `textBytes` is the length of its source text in UTF-8. */
export function checkDocument (document: unknown, textBytes: number): Result<ConfigurationDocument, InvalidDocumentError> {
  if (textBytes > MAXIMUM_DOCUMENT_BYTES) return refuseLength(textBytes)
  const parsed = configurationDocumentSchema.safeParse(document)
  if (!parsed.success) {
    return Result.err(new InvalidDocumentError(parsed.error.issues.flatMap(issue => toFaults(issue, []))))
  }
  const faults = findReferenceFaults(parsed.data)
  return faults.length > 0 ? Result.err(new InvalidDocumentError(faults)) : Result.ok(parsed.data)
}

function refuseLength (textBytes: number): Result<ConfigurationDocument, InvalidDocumentError> {
  const problem = `it has ${textBytes} bytes, more than the ${MAXIMUM_DOCUMENT_BYTES} allowed`
  return Result.err(new InvalidDocumentError([{ path: WHOLE_DOCUMENT, problem }]))
}

function toFaults (issue: z.core.$ZodIssue, parents: readonly PropertyKey[]): DocumentFault[] {
  const path = [...parents, ...issue.path]
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({ path: fieldPath([...path, key]), problem: 'there is no such field' }))
  }
  if (issue.code === 'invalid_union' && issue.errors.length > 0) {
    // The alternative of the union with the fewest faults is assumed to be the intended one.
    const [closest] = [...issue.errors].sort((left, right) => left.length - right.length)
    return (closest ?? []).flatMap(inner => toFaults(inner, path))
  }
  return [{ path: fieldPath(path), problem: issue.message }]
}

function fieldPath (path: readonly PropertyKey[]): string {
  return path.length === 0 ? WHOLE_DOCUMENT : path.map(String).map(quoteUnlessPlain).join('.')
}

function quoteUnlessPlain (name: string): string {
  return PLAIN_FIELD_NAME.test(name) ? name : JSON.stringify(name)
}

function firstLine (error: unknown): string {
  const message = error instanceof Error ? error.message : String(error)
  return message.split('\n')[0] as string
}
