/** Stand-in for a plain service: notes every call that it ran, so that a test can count what landed. */
import { StandInServer, delay } from '../common/standInServer.js'

/** One call as run. */
export interface NotedCall {
  path: string
  nonce: string
  idempotencyKey: string
  body: string
}

/** The plain service stand-in. */
export class PlainServiceStandIn extends StandInServer {
  private readonly _calls: NotedCall[] = []

  /** @param _workMilliseconds time between running a call and answering it */
  constructor (private readonly _workMilliseconds: number) {
    super()
    this.router.get('/standin/calls', context => { context.body = this._calls })
    this.router.post('/{*path}', async context => {
      const call = {
        path: context.path,
        nonce: context.get('x-request-id'),
        idempotencyKey: context.get('idempotency-key'),
        body: JSON.stringify(context.request.body)
      }
      this._calls.push(call)
      await delay(this._workMilliseconds)
      context.set('x-request-id', call.nonce)
      context.body = { landed: this._calls.length, echo: context.request.body }
    })
  }
}
