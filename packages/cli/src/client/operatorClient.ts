/** Calls the operators' address of an instance. */
import got, { RequestError } from 'got'
import { Result } from 'true-myth'
import { RemediedError } from '@wasabihead/coordination'

const CALL_TIMEOUT_MILLISECONDS = 10_000

/** The instance could not be reached. */
export class InstanceUnreachableError extends RemediedError {
  readonly kind = 'instance-unreachable'
}

/** The instance refused. */
export class InstanceRefusedError extends RemediedError {
  /** @param kind the refusal's name, as the instance gave it */
  constructor (readonly kind: string, readonly status: number, problem: string, remedy: string, readonly body: unknown) {
    super(problem, remedy)
  }
}

/** Why a call gave no result. */
export type OperatorCallError = InstanceUnreachableError | InstanceRefusedError

/** How to reach an instance as an operator. */
export interface OperatorTarget {
  address: string
  token: string
}

/** Calls one instance. */
export class OperatorClient {
  constructor (private readonly _target: OperatorTarget) {}

  /** Reads a resource. */
  async read (path: string): Promise<Result<unknown, OperatorCallError>> {
    return await this._call('GET', path)
  }

  /** Writes a resource. */
  async write (method: 'PUT' | 'POST' | 'DELETE', path: string, body: object): Promise<Result<unknown, OperatorCallError>> {
    return await this._call(method, path, body)
  }

  private async _call (
    method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: object
  ): Promise<Result<unknown, OperatorCallError>> {
    try {
      const response = await got(this._target.address + path, {
        method,
        ...(body === undefined ? {} : { json: body }),
        headers: { authorization: `Bearer ${this._target.token}` },
        timeout: { request: CALL_TIMEOUT_MILLISECONDS },
        retry: { limit: 0 },
        throwHttpErrors: false
      })
      const parsed: unknown = JSON.parse(response.body)
      return response.statusCode < 300 ? Result.ok(parsed) : Result.err(toRefused(response.statusCode, parsed))
    } catch (error) {
      const code = error instanceof RequestError ? error.code : String(error)
      return Result.err(new InstanceUnreachableError(
        `No answer from ${this._target.address} (${code})`, 'Check --address, or use the operators\' address of another host'))
    }
  }
}

function toRefused (status: number, body: unknown): InstanceRefusedError {
  const error = (body as { error?: { type?: string, message?: string, remedy?: string } }).error
  return new InstanceRefusedError(
    error?.type ?? 'refused', status, error?.message ?? `Status ${status}`, error?.remedy ?? 'Look at the instance\'s log', body)
}
