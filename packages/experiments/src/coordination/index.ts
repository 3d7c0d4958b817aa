import { ActiveInstancesMeasurement } from './activeInstancesMeasurement.js'
import { TelemetryMeasurement } from '../telemetry/index.js'
import { ConfigurationMeasurement } from './configurationMeasurement.js'
import { ClaimTakeoverMeasurement, ClaimWritesMeasurement } from './claimMeasurements.js'
import type { CoordinationMeasurement } from './measurement.js'
import { MembershipMeasurement } from './membershipMeasurement.js'
import { CrashingRequestMeasurement } from '../quarantine/crashingRequestMeasurement.js'
import { OverloadMeasurement } from './overload/index.js'

/** All measurements of the coordination decisions, in the order in which they run. */
export const coordinationMeasurements: readonly CoordinationMeasurement[] = [
  new ConfigurationMeasurement(),
  new MembershipMeasurement(),
  new ActiveInstancesMeasurement(),
  new TelemetryMeasurement(),
  new ClaimWritesMeasurement(),
  new ClaimTakeoverMeasurement(),
  new OverloadMeasurement(),
  new CrashingRequestMeasurement()
]

export { CoordinationMeasurement, type MeasurementRow } from './measurement.js'
