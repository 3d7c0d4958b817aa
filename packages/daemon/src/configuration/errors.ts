/** Errors of an operator's change. */
import {
  ActionableError, type ConfigurationRecord, type InvalidDocumentError, type PlatformRefusedError
} from '@wasabihead/coordination'

/** Another change was accepted first. */
export class ConfigurationConflictError extends ActionableError {
  readonly kind = 'configuration-conflict'

  constructor (readonly current: ConfigurationRecord | undefined) {
    super(
      `Revision ${current?.revision ?? 0} is in force, not the one that this change was made against`,
      'Compare the two changes, make yours again on the revision in force, and apply it'
    )
  }
}

/** The change may be in force, or may still come into force. */
export class OutcomeUnknownError extends ActionableError {
  readonly kind = 'outcome-unknown'

  constructor (readonly changeToken: string) {
    super(
      'The key-value service did not answer, so the change may be in force now or later',
      `Send the same change again with changeToken "${changeToken}", or look for that token in /v1/configuration/history`
    )
  }
}

/** The source is not the one that was tried where it is said to come from. */
export class PromotionMismatchError extends ActionableError {
  readonly kind = 'promotion-mismatch'

  constructor (environment: string, digest: string) {
    super(
      `The source has the digest ${digest}, not the one that was tried in "${environment}"`,
      'Promote the very bytes of the revision that was tried'
    )
  }
}

/** Why a change was not reported as accepted. Only `outcome-unknown` leaves open whether it is in force. */
export type ApplyError =
  ConfigurationConflictError | InvalidDocumentError | OutcomeUnknownError | PlatformRefusedError | PromotionMismatchError
