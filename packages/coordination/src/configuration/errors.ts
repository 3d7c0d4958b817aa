/** Errors of the configuration slice. */
import { RemediedError } from '../common/index.js'

/** One fault of a document, with the path of its field. */
export interface DocumentFault {
  path: string
  problem: string
}

/** The document was refused whole; nothing of it is in force. */
export class InvalidDocumentError extends RemediedError {
  readonly kind = 'invalid-document'

  constructor (readonly faults: readonly DocumentFault[]) {
    super(
      `The document was refused: ${faults.map(fault => `${fault.path}: ${fault.problem}`).join('; ')}`,
      'Correct the fields named and apply the document again; nothing of it is in force'
    )
  }
}
