/** Routes for operators that show and change the configuration. */
import type Router from '@koa/router'
import type { Context } from 'koa'
import { z } from 'zod'
import { promotionSchema, type ConfigurationRecord, type MemberTable } from '@wasabihead/coordination'
import { answerError, OperatorRoutes } from '../operators/operatorRoutes.js'
import type { ConfigurationController } from './configurationController.js'
import { ConfigurationConflictError, OutcomeUnknownError, type ApplyError } from './errors.js'

const MAXIMUM_TOKEN_CHARACTERS = 100

const changeSchema = z.strictObject({
  source: z.string(),
  expectedRevision: z.number().int().nonnegative(),
  author: z.string().min(1),
  changeToken: z.string().min(1).max(MAXIMUM_TOKEN_CHARACTERS).optional(),
  promotedFrom: promotionSchema.optional()
})
const revisionSchema = z.coerce.number().int().positive()
const STATUS_OF_ERROR: Record<ApplyError['kind'], number> = {
  'configuration-conflict': 409,
  'invalid-document': 422,
  'promotion-mismatch': 422,
  'outcome-unknown': 504,
  'platform-refused': 503
}

/** Serves the configuration to operators. */
export class ConfigurationRoutes extends OperatorRoutes {
  constructor (private readonly _controller: ConfigurationController, private readonly _members: MemberTable) {
    super()
  }

  override register (router: Router): void {
    router.get('/v1/configuration', context => { context.body = this._describeCurrent() })
    router.put('/v1/configuration', async context => { await this._apply(context) })
    router.get('/v1/configuration/instances', context => { context.body = this._describeInstances() })
    router.get('/v1/configuration/history', async context => { await this._listHistory(context) })
    router.get('/v1/configuration/history/:revision', async context => { await this._showRevision(context) })
  }

  private async _apply (context: Context): Promise<void> {
    const change = changeSchema.safeParse(context.request.body)
    if (!change.success) return answerInvalid(context, change.error.message, 'Correct the request')
    const applied = await this._controller.apply(change.data)
    if (applied.isOk) {
      context.body = summarize(applied.value)
      return
    }
    const { error } = applied
    answerError(context, STATUS_OF_ERROR[error.kind], { type: error.kind, message: error.problem, remedy: error.remedy })
    if (error instanceof ConfigurationConflictError) Object.assign(context.body as object, { current: error.current })
    if (error instanceof OutcomeUnknownError) Object.assign(context.body as object, { changeToken: error.changeToken })
  }

  private _describeCurrent (): object {
    const { current } = this._controller.state
    return current === undefined ? { revision: 0 } : { ...current, document: this._controller.document }
  }

  /** The revision of each instance, as received by gossip, compared with the one in force here. */
  private _describeInstances (): object {
    const { revision } = this._controller.state.version
    const instances = this._members.members.filter(member => member.state !== 'dead').map(member => ({
      host: member.host,
      dataCentre: member.dataCentre,
      revision: member.configurationRevision,
      state: member.state,
      isLagging: member.configurationRevision < revision
    }))
    return { revision, instances }
  }

  private async _listHistory (context: Context): Promise<void> {
    const history = await this._controller.readHistory()
    if (history.isOk) context.body = { changes: history.value.map(summarize) }
    else answerUnavailable(context)
  }

  private async _showRevision (context: Context): Promise<void> {
    const revision = revisionSchema.safeParse(context['params'].revision)
    if (!revision.success) return answerInvalid(context, 'The revision is not a positive whole number', 'Correct the path')
    const read = await this._controller.readRevision(revision.data)
    if (read.isErr) return answerUnavailable(context)
    if (read.value !== undefined) {
      context.body = read.value
      return
    }
    answerError(context, 404, {
      type: 'unknown-revision',
      message: `Revision ${revision.data} is not in the history`,
      remedy: 'See /v1/configuration/history for the retained revisions'
    })
  }
}

function summarize (record: ConfigurationRecord): Omit<ConfigurationRecord, 'source'> {
  const { source, ...summary } = record
  return summary
}

function answerInvalid (context: Context, message: string, remedy: string): void {
  answerError(context, 400, { type: 'invalid-request', message, remedy })
}

function answerUnavailable (context: Context): void {
  answerError(context, 503, {
    type: 'platform-unavailable',
    message: 'The key-value service did not answer',
    remedy: 'Repeat the request when the service answers'
  })
}
