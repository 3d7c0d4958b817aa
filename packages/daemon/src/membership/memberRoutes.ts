/** Route for operators about the members. */
import type Router from '@koa/router'
import type { MemberTable } from '@wasabihead/coordination'
import { OperatorRoutes } from '../operators/operatorRoutes.js'

/** Shows the member table of this instance. */
export class MemberRoutes extends OperatorRoutes {
  constructor (private readonly _members: MemberTable) {
    super()
  }

  override register (router: Router): void {
    router.get('/v1/members', context => {
      context.body = { self: this._members.self.host, members: this._members.members }
    })
  }
}
