/** Operator routes of the quarantine. */
import type Router from '@koa/router'
import { answerError, OperatorRoutes } from '../operators/index.js'
import type { QuarantineController } from './quarantineController.js'

/** Lists and releases requests that crash backend servers. */
export class QuarantineRoutes extends OperatorRoutes {
  constructor (private readonly _controller: QuarantineController) {
    super()
  }

  override register (router: Router): void {
    router.get('/v1/quarantine', context => {
      const entries = this._controller.entries.map(({ fingerprint, workspace, kind, state, since }) => (
        { fingerprint, workspace, kind, state, since: new Date(since).toISOString() }))
      context.body = { entries }
    })
    router.delete('/v1/quarantine/:fingerprint', context => {
      const fingerprint = String(context.params.fingerprint)
      if (this._controller.release(fingerprint)) context.body = { released: fingerprint }
      else answerError(context, 404, { type: 'not-found', message: 'The request is not in quarantine', remedy: 'List the quarantine entries' })
    })
  }
}
