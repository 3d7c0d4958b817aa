/** Authenticates callers and checks their requests against the configuration in force. */
import { createHash } from 'node:crypto'
import type { Context } from 'koa'
import { Result } from 'true-myth'
import { v4 as createRequestId } from 'uuid'
import {
  RefusalError,
  type ConfigurationDocument, type KindConfiguration, type Milliseconds, type WorkspaceConfiguration
} from '@wasabihead/coordination'
import type { AcceptedRequest, ModelInput } from '../serving/index.js'
import type { CompletionBody } from './completionBody.js'
import { DocumentIndex } from './documentIndex.js'
import { isNestedWithin, MAXIMUM_NESTING } from './nesting.js'

const NOT_CONFIGURED_RETRY_AFTER: Milliseconds = 1_000
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/

/** A caller that sent a token of a workspace. */
export interface AuthenticatedCaller {
  workspace: WorkspaceConfiguration
  /** Index of the document that was in force when the request arrived; used until the request ends. */
  index: DocumentIndex
}

/** Reads callers' requests; whatever is wrong with one is returned as a refusal. */
export class RequestReader {
  private _index: DocumentIndex | undefined

  /** @param _document returns the document for new work, if any */
  constructor (private readonly _document: () => ConfigurationDocument | undefined) {}

  /** The workspace of the caller's bearer token. */
  authenticate (context: Context): Result<AuthenticatedCaller, RefusalError> {
    const index = this._currentIndex()
    if (index === undefined) {
      return Result.err(new RefusalError('not-configured', 503, true,
        'No configuration is in force yet', 'Retry after the given delay', NOT_CONFIGURED_RETRY_AFTER))
    }
    const token = /^Bearer (.+)$/.exec(context.get('authorization'))?.[1]
    // The look-up uses digests, never tokens, so its duration reveals nothing that helps to guess a token.
    const digest = token === undefined ? undefined : createHash('sha256').update(token).digest('hex')
    const workspace = digest === undefined ? undefined : index.findWorkspace(digest)
    if (workspace !== undefined) return Result.ok({ workspace, index })
    return Result.err(new RefusalError('unauthorized', 401, true,
      'The bearer token belongs to no workspace', 'Send the header Authorization: Bearer with a token of your workspace'))
  }

  /** Checks a completion request against its kind and the limits of its model. */
  readCompletion (
    context: Context, caller: AuthenticatedCaller, body: CompletionBody, now: Milliseconds
  ): Result<AcceptedRequest, RefusalError> {
    const kind = caller.index.findKind(caller.workspace, body.kind)
    const model = kind === undefined ? undefined : caller.index.findModel(kind)
    if (kind === undefined || model === undefined) return Result.err(unknownKind())
    if (body.model !== undefined && body.model !== model.name) {
      return Result.err(new RefusalError('invalid-request', 400, true,
        'The field "model" does not name the model of this kind', 'Omit the field, or use a kind of that model'))
    }
    const promptBytes = Buffer.byteLength(body.prompt)
    if (promptBytes > model.maximumPromptBytes) {
      return Result.err(new RefusalError('body-too-large', 413, true,
        `The prompt has ${promptBytes} bytes, more than the model accepts`,
        `Send at most ${model.maximumPromptBytes} bytes of prompt`))
    }
    const modelInput = { prompt: body.prompt, maximumTokens: body.maximumTokens, shape: body.shape }
    return accept(context, caller, kind, context.request.body, now, modelInput)
  }

  /** Checks a call of a plain service, one that is not a model. */
  readCall (
    context: Context, caller: AuthenticatedCaller, kindName: string, now: Milliseconds
  ): Result<AcceptedRequest, RefusalError> {
    const kind = caller.index.findKind(caller.workspace, kindName)
    if (kind === undefined || !('service' in kind.target)) return Result.err(unknownKind())
    return accept(context, caller, kind, context.request.body, now)
  }

  private _currentIndex (): DocumentIndex | undefined {
    const document = this._document()
    if (document === undefined) return undefined
    if (this._index?.document !== document) this._index = new DocumentIndex(document)
    return this._index
  }
}

function accept (
  context: Context, caller: AuthenticatedCaller, kind: KindConfiguration, body: unknown, now: Milliseconds,
  modelInput?: ModelInput
): Result<AcceptedRequest, RefusalError> {
  const idempotencyKey = context.get('idempotency-key')
  if (idempotencyKey !== '' && !IDEMPOTENCY_KEY.test(idempotencyKey)) {
    return Result.err(new RefusalError('invalid-request', 400, true,
      'The idempotency key is malformed', 'Send 1 to 255 printable characters without spaces, such as a UUID'))
  }
  if (!isNestedWithin(body, MAXIMUM_NESTING)) {
    return Result.err(new RefusalError('invalid-request', 400, true,
      'The body is nested too deeply', `Send JSON with at most ${MAXIMUM_NESTING} levels of nesting`))
  }
  return Result.ok({
    requestId: createRequestId(),
    workspace: caller.workspace,
    kind,
    body: JSON.stringify(body ?? {}),
    ...(modelInput === undefined ? {} : { modelInput }),
    ...(idempotencyKey === '' ? {} : { idempotencyKey }),
    receivedAt: now,
    deadline: now + kind.deadlineMilliseconds
  })
}

function unknownKind (): RefusalError {
  return new RefusalError('unknown-kind', 404, true,
    'Your workspace has no kind of this name on this route', 'Use a kind of the document, on the route for its target')
}
