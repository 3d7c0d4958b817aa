/** Operator routes that list, show and resolve claims. */
import type Router from '@koa/router'
import type { Context } from 'koa'
import { z } from 'zod'
import { keptAnswerSchema, type ClaimReply } from '@wasabihead/coordination'
import { answerError, OperatorRoutes, type OperatorError } from '../operators/operatorRoutes.js'
import type { ClaimCoordinator } from './claimCoordinator.js'
import { summaryOf, type ClaimDirectory } from './claimDirectory.js'

const DEFAULT_LIMIT = 100
const MAXIMUM_LIMIT = 1_000
const MILLISECONDS_PER_SECOND = 1_000

const filterSchema = z.strictObject({
  state: z.enum(['claimed', 'released', 'done', 'unknown']).optional(),
  workspace: z.string().min(1).optional(),
  limit: z.coerce.number().int().min(1).max(MAXIMUM_LIMIT).default(DEFAULT_LIMIT)
})
const resolutionSchema = z.strictObject({
  outcome: z.enum(['ran', 'not-run']),
  author: z.string().min(1),
  answer: keptAnswerSchema.optional()
})
const UNAVAILABLE: OperatorError = {
  type: 'service-unavailable',
  message: 'The claim log cannot be read or written at the moment; a resolution may still have been recorded',
  remedy: 'Show the claim, then send the resolution again if the outcome is still unknown'
}

/** Serves the claims to operators. */
export class ClaimRoutes extends OperatorRoutes {
  constructor (private readonly _coordinator: ClaimCoordinator, private readonly _directory: ClaimDirectory) {
    super()
  }

  override register (router: Router): void {
    router.get('/v1/claims', async context => { await this._list(context) })
    router.get('/v1/claims/:workspace/:key', async context => { await this._show(context) })
    router.post('/v1/claims/:workspace/:key/resolution', async context => { await this._resolve(context) })
  }

  private async _list (context: Context): Promise<void> {
    const filter = filterSchema.safeParse(context.query)
    if (!filter.success) return answerInvalid(context, filter.error)
    const { state, workspace, limit } = filter.data
    const listing = await this._directory.list({
      limit, ...(state === undefined ? {} : { state }), ...(workspace === undefined ? {} : { workspace })
    })
    if (listing.isOk) context.body = listing.value
    else answerError(context, 503, { type: listing.error.kind, message: listing.error.problem, remedy: listing.error.remedy })
  }

  private async _show (context: Context): Promise<void> {
    const reply = await this._coordinator.find(String(context.params.workspace), String(context.params.key))
    if (reply.kind !== 'found') return answerError(context, 503, UNAVAILABLE)
    if (reply.claim !== undefined) context.body = summaryOf(reply.claim)
    else answerError(context, 404, { type: 'not-found', message: 'There is no claim under this key', remedy: 'Check the workspace and the key' })
  }

  private async _resolve (context: Context): Promise<void> {
    const resolution = resolutionSchema.safeParse(context.request.body)
    if (!resolution.success) return answerInvalid(context, resolution.error)
    const { outcome, author, answer } = resolution.data
    const reply = await this._coordinator.resolve({
      workspace: String(context.params.workspace),
      idempotencyKey: String(context.params.key),
      outcome,
      author,
      ...(answer === undefined ? {} : { answer })
    })
    answerResolution(context, reply)
  }
}

function answerResolution (context: Context, reply: ClaimReply): void {
  switch (reply.kind) {
    case 'recorded':
      context.body = { recorded: true }
      return
    case 'too-early':
      context.set('Retry-After', String(Math.ceil(reply.retryAfter / MILLISECONDS_PER_SECOND)))
      return answerError(context, 409, {
        type: 'too-early',
        message: 'A paused instance might still send the request',
        remedy: `Send "not-run" again in ${Math.ceil(reply.retryAfter / MILLISECONDS_PER_SECOND)} seconds, after checking the service`
      })
    case 'conflict':
      return answerError(context, 409, {
        type: 'not-unknown', message: 'The outcome of this claim is not unknown', remedy: 'Show the claim to see its state'
      })
    default: return answerError(context, 503, UNAVAILABLE)
  }
}

function answerInvalid (context: Context, error: z.ZodError): void {
  const [issue] = error.issues
  const field = issue?.path.map(String).join('.') ?? ''
  answerError(context, 400, {
    type: 'invalid-request', message: `The field "${field}" is wrong: ${issue?.message ?? 'not valid'}`, remedy: 'Correct the field'
  })
}
