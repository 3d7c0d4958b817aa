/** The configuration slice for operators. */
import type Router from '@koa/router'
import type { Context } from 'koa'
import { z } from 'zod'
import { answerError, OperatorRoutes } from '../operators/operatorRoutes.js'
import { ConfigurationConflictError, type ApplyError, type ConfigurationKeeper } from './configurationKeeper.js'

const MAXIMUM_TOKEN_CHARACTERS = 100

const changeSchema = z.strictObject({
  source: z.string(),
  expectedRevision: z.number().int().nonnegative(),
  author: z.string().min(1),
  changeToken: z.string().min(1).max(MAXIMUM_TOKEN_CHARACTERS).optional(),
  promotedFrom: z.strictObject({
    environment: z.string(), revision: z.number().int().positive(), digest: z.string()
  }).optional()
})
const STATUS_OF_ERROR: Record<ApplyError['kind'], number> = {
  'configuration-conflict': 409,
  'invalid-document': 422,
  'platform-refused': 503,
  'platform-ambiguous': 503
}

/** Serves the configuration to operators. */
export class ConfigurationRoutes extends OperatorRoutes {
  constructor (private readonly _keeper: ConfigurationKeeper) {
    super()
  }

  override register (router: Router): void {
    router.get('/v1/configuration', context => { context.body = this._keeper.state.current ?? { revision: 0 } })
    router.put('/v1/configuration', async context => { await this._apply(context) })
  }

  private async _apply (context: Context): Promise<void> {
    const change = changeSchema.safeParse(context.request.body)
    if (!change.success) {
      return answerError(context, 400, { type: 'invalid-request', message: change.error.message, remedy: 'Correct the request' })
    }
    const applied = await this._keeper.apply(change.data)
    if (applied.isOk) {
      context.body = { revision: applied.value.revision, digest: applied.value.digest }
      return
    }
    const { error } = applied
    answerError(context, STATUS_OF_ERROR[error.kind], { type: error.kind, message: error.problem, remedy: error.remedy })
    if (error instanceof ConfigurationConflictError) Object.assign(context.body as object, { current: error.current })
  }
}
