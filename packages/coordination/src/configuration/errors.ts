/** Errors of the configuration folder. */
import { ActionableError } from '../common/index.js'

/** One fault of a document. `path` is the path of its field, such as `kinds.0.target.model`. */
export interface DocumentFault {
  path: string
  problem: string
}

const MAXIMUM_FAULTS_IN_MESSAGE = 20

/** The document was rejected as a whole, and nothing of it takes effect. */
export class InvalidDocumentError extends ActionableError {
  readonly kind = 'invalid-document'

  constructor (readonly faults: readonly DocumentFault[]) {
    super(
      `The document was refused: ${listFaults(faults)}`,
      'Correct the fields named and apply the document again; nothing of it is in force'
    )
  }
}

function listFaults (faults: readonly DocumentFault[]): string {
  const listed = faults.slice(0, MAXIMUM_FAULTS_IN_MESSAGE).map(fault => `${fault.path}: ${fault.problem}`)
  const left = faults.length - listed.length
  return [...listed, ...(left > 0 ? [`and ${left} more`] : [])].join('; ')
}
