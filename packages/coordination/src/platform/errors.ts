/** Failures of calls to the platform. */
import { ActionableError } from '../common/index.js'

/** The call did not take effect, and never will. */
export class PlatformRefusedError extends ActionableError {
  readonly kind = 'platform-refused'
}

/** The replica serves another weight version or model than the request names; the request did not run. */
export class WeightVersionRefusedError extends PlatformRefusedError {}

/** No answer arrived: the call may or may not have taken effect, or may still do so. */
export class PlatformAmbiguousError extends ActionableError {
  readonly kind = 'platform-ambiguous'
}

/** Why a call on the platform gave no result. */
export type PlatformError = PlatformRefusedError | PlatformAmbiguousError
