/** HTTP client for the operators' addresses of instances. */
import got, { RequestError } from 'got'
import { Result } from 'true-myth'
import type { z } from 'zod'
import { ActionableError } from '@wasabihead/coordination'

const CALL_TIMEOUT_MILLISECONDS = 10_000
/** Error codes of calls that failed before the request was sent. */
const NEVER_SENT_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'EAI_AGAIN'])

/** No instance answered. */
export class InstanceUnreachableError extends ActionableError {
  readonly kind = 'instance-unreachable'

  /** @param wasNeverSent whether it is certain that no instance received the call */
  constructor (problem: string, remedy: string, readonly wasNeverSent: boolean) {
    super(problem, remedy)
  }
}

/** An instance answered with an error status, or with a body that does not have the expected shape. */
export class InstanceRefusedError extends ActionableError {
  /**
   * @param kind the `error.type` of the response, or a name of this client where there is none
   * @param status HTTP status of the response
   * @param body the parsed response, or undefined if it is not JSON
   */
  constructor (readonly kind: string, readonly status: number, problem: string, remedy: string, readonly body: unknown) {
    super(problem, remedy)
  }
}

/** Why a call failed. */
export type OperatorCallError = InstanceUnreachableError | InstanceRefusedError

/** Instances to call, and the operators' token to call them with. */
export interface OperatorTarget {
  /** Base URLs of instances of one environment, tried in order. */
  addresses: readonly string[]
  token: string
}

/** Whether a call that got no answer may be sent to the next address: always, or only if no instance can have received it. */
export type RetryPolicy = 'any' | 'if-never-sent'

type Method = 'GET' | 'PUT' | 'POST' | 'DELETE'

/** Calls the first instance that answers. */
export class OperatorClient {
  constructor (private readonly _target: OperatorTarget) {}

  /** Base URLs, in the order in which they are tried. */
  get addresses (): readonly string[] {
    return this._target.addresses
  }

  /** Gets a resource. A response that does not match the schema is an `InstanceRefusedError`. */
  async read<Schema extends z.ZodType> (path: string, schema: Schema): Promise<Result<z.output<Schema>, OperatorCallError>> {
    return await this._callInOrder('GET', path, schema, 'any')
  }

  /** Changes a resource; `retryPolicy` says whether the call may be repeated at the next address. */
  async write<Schema extends z.ZodType> (
    method: 'PUT' | 'POST' | 'DELETE', path: string, body: object | undefined, schema: Schema, retryPolicy: RetryPolicy
  ): Promise<Result<z.output<Schema>, OperatorCallError>> {
    return await this._callInOrder(method, path, schema, retryPolicy, body)
  }

  private async _callInOrder<Schema extends z.ZodType> (
    method: Method, path: string, schema: Schema, retryPolicy: RetryPolicy, body?: object
  ): Promise<Result<z.output<Schema>, OperatorCallError>> {
    let wasNeverSent = true
    let lastError: OperatorCallError | undefined
    for (const address of this._target.addresses) {
      const answer = await this._call(method, address, path, schema, body)
      if (answer.isOk || answer.error instanceof InstanceRefusedError) return answer
      wasNeverSent &&= answer.error.wasNeverSent
      lastError = answer.error
      if (retryPolicy === 'if-never-sent' && !wasNeverSent) break
    }
    const problem = lastError?.problem ?? 'There is no address to call'
    return Result.err(new InstanceUnreachableError(problem, remedyOf(wasNeverSent), wasNeverSent))
  }

  private async _call<Schema extends z.ZodType> (
    method: Method, address: string, path: string, schema: Schema, body?: object
  ): Promise<Result<z.output<Schema>, OperatorCallError>> {
    try {
      const response = await got(address + path, {
        method,
        ...(body === undefined ? {} : { json: body }),
        headers: { authorization: `Bearer ${this._target.token}` },
        timeout: { request: CALL_TIMEOUT_MILLISECONDS },
        retry: { limit: 0 },
        throwHttpErrors: false
      })
      return readAnswer(address, response.statusCode, response.body, schema)
    } catch (error) {
      const code = error instanceof RequestError ? error.code : String(error)
      const wasNeverSent = NEVER_SENT_CODES.has(code)
      return Result.err(new InstanceUnreachableError(`No answer from ${address} (${code})`, remedyOf(wasNeverSent), wasNeverSent))
    }
  }
}

function remedyOf (wasNeverSent: boolean): string {
  return wasNeverSent
    ? 'Check --address, or use the operators\' address of another host'
    : 'It may have taken effect: look at the state before you repeat it'
}

function readAnswer<Schema extends z.ZodType> (
  address: string, status: number, text: string, schema: Schema
): Result<z.output<Schema>, OperatorCallError> {
  const body = parseJson(text)
  if (status >= 300) return Result.err(toRefusedError(address, status, body))
  const parsed = schema.safeParse(body)
  if (parsed.success) return Result.ok(parsed.data)
  return Result.err(new InstanceRefusedError('answer-not-understood', status,
    `${address} answered with something else than an instance does`, 'Check that --address is the operators\' address of an instance', body))
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function toRefusedError (address: string, status: number, body: unknown): InstanceRefusedError {
  const error = (body as { error?: { type?: string, message?: string, remedy?: string } } | undefined)?.error
  return new InstanceRefusedError(error?.type ?? 'refused', status,
    error?.message ?? `${address} answered with status ${status}`, error?.remedy ?? 'Look at the instance\'s log', body)
}
