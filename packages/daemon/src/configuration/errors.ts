/** Reasons why an operator's change is not reported as accepted. */
import {
  ActionableError, type ConfigurationRecord, type InvalidDocumentError, type PlatformRefusedError
} from '@wasabihead/coordination'

/** Another change was accepted after the revision that this one is based on. */
export class ConfigurationConflictError extends ActionableError {
  readonly kind = 'configuration-conflict'

  constructor (readonly current: ConfigurationRecord | undefined) {
    super(
      `Revision ${current?.revision ?? 0} is in force, not the one that this change is based on`,
      'Compare the two changes, base yours on the revision in force, and apply it again'
    )
  }
}

/** The change may be in force, or may still come into force. */
export class OutcomeUnknownError extends ActionableError {
  readonly kind = 'outcome-unknown'

  constructor (readonly changeToken: string) {
    super(
      'The key-value service did not answer, so the change may be in force now or later',
      `Send the same change again with changeToken "${changeToken}", or search /v1/configuration/history for that token`
    )
  }
}

/** The source differs from the one that was tested in the environment that it is promoted from. */
export class PromotionMismatchError extends ActionableError {
  readonly kind = 'promotion-mismatch'

  constructor (environment: string, digest: string) {
    super(
      `The source has the digest ${digest}, not that of the revision tested in "${environment}"`,
      'Promote the unchanged source of the tested revision'
    )
  }
}

/** Why a change was not reported as accepted. It may be in force, or still come into force, only after `outcome-unknown`. */
export type ApplyError =
  ConfigurationConflictError | InvalidDocumentError | OutcomeUnknownError | PlatformRefusedError | PromotionMismatchError
