export { measureKeptBytes, measureProcessorTime, usedBytes, type KeptState } from './processCost.js'
