/** A plain service over HTTP. */
import { Result } from 'true-myth'
import {
  PlainService, PlatformAmbiguousError,
  type Milliseconds, type PlatformError, type ServiceAnswer, type ServiceCall
} from '@wasabihead/coordination'
import { callHttp } from './httpCalls.js'

const CALL_TIMEOUT: Milliseconds = 30_000

/** Client of one replica of a plain service. */
export class HttpPlainService extends PlainService {
  /** @param _address base URL of the replica */
  constructor (private readonly _address: string) {
    super()
  }

  override async call (call: ServiceCall, signal: AbortSignal): Promise<Result<ServiceAnswer, PlatformError>> {
    const answer = await callHttp({
      method: 'POST',
      url: this._address + call.path,
      json: JSON.parse(call.body),
      headers: {
        'x-request-id': call.nonce,
        ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey })
      },
      timeout: Math.min(CALL_TIMEOUT, call.timeout ?? CALL_TIMEOUT),
      signal
    })
    return answer.andThen((http): Result<ServiceAnswer, PlatformError> => {
      const echoed = http.headers['x-request-id']
      if (echoed !== undefined && echoed !== call.nonce) {
        return Result.err(new PlatformAmbiguousError(
          'The service answered with the nonce of another call', 'Discard the answer; the outcome of this call is unknown'))
      }
      return Result.ok({ status: http.status, body: http.body })
    })
  }
}
