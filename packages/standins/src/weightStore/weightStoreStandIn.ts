/** Stand-in for the rate-limited weight store. */
import { StandInServer } from '../common/standInServer.js'

/** The weight store stand-in. */
export class WeightStoreStandIn extends StandInServer {
  /** @param versions weight versions that can be loaded, for every model */
  constructor (versions: readonly string[]) {
    super()
    this.router.get('/models/:model/versions', context => { context.body = { versions } })
  }
}
