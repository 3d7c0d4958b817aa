/** Validation of a document before it is sent. */
import { parse as parseYaml } from 'yaml'
import { checkDocumentSource, DOCUMENT_PARSER_OPTIONS, type ConfigurationDocument } from '@wasabihead/coordination'
import { CommandFailedError } from '../program/index.js'

/** Parses and validates a document. @throws CommandFailedError that lists all faults */
export function requireValid (source: string): ConfigurationDocument {
  return checkDocumentSource(source, text => parseYaml(text, DOCUMENT_PARSER_OPTIONS)).match({
    Ok: document => document,
    Err: error => {
      const list = error.faults.map(fault => `\n  ${fault.path}: ${fault.problem}`).join('')
      throw new CommandFailedError(error.kind, `The document was refused:${list}\n`, error.remedy, { faults: error.faults })
    }
  })
}
