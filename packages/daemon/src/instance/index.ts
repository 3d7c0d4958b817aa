export { Clock, SystemClock } from './clock.js'
export { Instance, type InstanceAddresses } from './instance.js'
