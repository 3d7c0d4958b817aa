/** Stand-in for a plain service: records every call that it ran, so that a test can count how often a request ran. */
import { StandInServer, delay } from '../common/standInServer.js'

/** A call that the service ran, with the values of its headers; empty where a header is absent. */
export interface RecordedCall {
  path: string
  nonce: string
  idempotencyKey: string
  body: string
}

/** Runs each POST, echoes its body, and lists the recorded calls at `/standin/calls`. */
export class PlainServiceStandIn extends StandInServer {
  private readonly _calls: RecordedCall[] = []

  /** @param _workMilliseconds delay between recording a call and answering it */
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
