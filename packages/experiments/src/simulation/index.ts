export { createRecord, ReplayedInstance } from './replayedInstance.js'
export { ReplayedFleet, type FleetOptions } from './replayedFleet.js'
export { CALL_OVERHEAD_BYTES, memberBytes } from './messageSizes.js'
export {
  CALL_TIMEOUT, FAULTLESS, SimulatedKeyValue, type KeyValueFaults, type SimulatedAnswer
} from './simulatedKeyValue.js'
export { VirtualTime } from './virtualTime.js'
