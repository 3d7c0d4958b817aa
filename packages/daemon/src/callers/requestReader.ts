/** Authenticates a caller and checks the request against the configuration in force. */
import { createHash } from 'node:crypto'
import type { Context } from 'koa'
import { Result } from 'true-myth'
import { v4 as createRequestId } from 'uuid'
import { z } from 'zod'
import {
  RefusalError,
  type ConfigurationDocument, type KindConfiguration, type Milliseconds, type WorkspaceConfiguration
} from '@wasabihead/coordination'
import type { AcceptedRequest, ModelInput } from '../serving/index.js'

const MAXIMUM_ANSWER_TOKENS = 4_096
const DEFAULT_ANSWER_TOKENS = 16

const completionSchema = z.strictObject({
  kind: z.string(),
  model: z.string().optional(),
  prompt: z.string().min(1),
  max_tokens: z.number().int().min(1).max(MAXIMUM_ANSWER_TOKENS).default(DEFAULT_ANSWER_TOKENS),
  stream: z.boolean().default(false)
})

/** A completion request with how its answer is wanted. */
export interface CompletionRequest {
  accepted: AcceptedRequest
  isStreamed: boolean
}

/** Reads callers' requests. */
export class RequestReader {
  constructor (private readonly _document: () => ConfigurationDocument | undefined) {}

  /** The workspace whose token the caller holds. */
  authenticate (context: Context): Result<WorkspaceConfiguration, RefusalError> {
    const document = this._document()
    if (document === undefined) {
      return Result.err(new RefusalError('not-configured', 503, true,
        'No configuration is in force yet', 'Apply a document, then send the request again', 1_000))
    }
    const token = /^Bearer (.+)$/.exec(context.get('authorization'))?.[1]
    const digest = token === undefined ? '' : createHash('sha256').update(token).digest('hex')
    const workspace = document.workspaces.find(candidate => candidate.tokenDigests.includes(digest))
    if (workspace !== undefined) return Result.ok(workspace)
    return Result.err(new RefusalError('unauthorized', 401, true,
      'The bearer token belongs to no workspace', 'Send the header Authorization: Bearer with a token of your workspace'))
  }

  /** Reads a completion request. */
  readCompletion (context: Context, now: Milliseconds): Result<CompletionRequest, RefusalError> {
    return this.authenticate(context).andThen(workspace => {
      const body = completionSchema.safeParse(context.request.body)
      if (!body.success) return Result.err<CompletionRequest, RefusalError>(invalidBody(body.error))
      const modelInput = { prompt: body.data.prompt, maximumTokens: body.data.max_tokens }
      return this._accept(context, workspace, body.data.kind, body.data, now, modelInput)
        .map(accepted => ({ accepted, isStreamed: body.data.stream }))
    })
  }

  /** Reads a call of a plain service. */
  readCall (context: Context, kindName: string, now: Milliseconds): Result<AcceptedRequest, RefusalError> {
    return this.authenticate(context)
      .andThen(workspace => this._accept(context, workspace, kindName, context.request.body, now))
  }

  private _accept (
    context: Context, workspace: WorkspaceConfiguration, kindName: string, body: unknown, now: Milliseconds,
    modelInput?: ModelInput
  ): Result<AcceptedRequest, RefusalError> {
    const kind = this._document()?.kinds.find(candidate => candidate.name === kindName)
    if (kind === undefined || !matchesRoute(kind, modelInput)) return Result.err(unknownKind(kindName))
    const idempotencyKey = context.get('idempotency-key')
    return Result.ok({
      requestId: createRequestId(),
      workspace,
      kind,
      body: JSON.stringify(body ?? {}),
      ...(modelInput === undefined ? {} : { modelInput }),
      ...(idempotencyKey === '' ? {} : { idempotencyKey }),
      receivedAt: now,
      deadline: now + kind.deadlineMilliseconds
    })
  }
}

function matchesRoute (kind: KindConfiguration, modelInput: ModelInput | undefined): boolean {
  return ('model' in kind.target) === (modelInput !== undefined)
}

function unknownKind (kindName: string): RefusalError {
  return new RefusalError('unknown-kind', 404, true,
    `No kind of request named "${kindName}" is served here`, 'Use a kind of the document, on the route of its target')
}

function invalidBody (error: z.ZodError): RefusalError {
  const issue = error.issues[0]
  return new RefusalError('invalid-request', 400, true,
    `The field "${issue?.path.map(String).join('.') ?? ''}" is wrong: ${issue?.message ?? 'not valid'}`, 'Correct the field and send the request again')
}
