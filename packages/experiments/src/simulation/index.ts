export {
  CALL_TIMEOUT, FAULTLESS, SimulatedKeyValue, type KeyValueFaults, type SimulatedAnswer
} from './simulatedKeyValue.js'
export { VirtualTime } from './virtualTime.js'
