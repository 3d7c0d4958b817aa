/** Stand-in for the platform's list of live and leaving hosts. Changes become visible only after a lag. */
import { z } from 'zod'
import { StandInServer } from '../common/standInServer.js'

const hostsSchema = z.array(z.object({ name: z.string(), address: z.string(), state: z.enum(['live', 'leaving']) }))

/** Serves `/hosts`; tests replace the list with `PUT /standin/hosts`. */
export class HostListStandIn extends StandInServer {
  private _hosts: z.infer<typeof hostsSchema> = []

  /** @param _lagMilliseconds delay until a new list is served */
  constructor (private readonly _lagMilliseconds: number) {
    super()
    this.router.get('/hosts', context => { context.body = { hosts: this._hosts } })
    this.router.put('/standin/hosts', context => {
      const hosts = hostsSchema.parse(context.request.body)
      setTimeout(() => { this._hosts = hosts }, this._lagMilliseconds)
      context.body = {}
    })
  }
}
