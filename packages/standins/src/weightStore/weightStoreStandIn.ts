/** Stand-in for the rate-limited weight store; it does not limit the rate itself. */
import { StandInServer } from '../common/standInServer.js'

/** Serves the same list of weight versions for every model. */
export class WeightStoreStandIn extends StandInServer {
  /** @param versions weight versions that can be loaded */
  constructor (versions: readonly string[]) {
    super()
    this.router.get('/models/:model/versions', context => { context.body = { versions } })
  }
}
