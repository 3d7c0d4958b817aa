export { RolloutLoop, type RolloutLoopSettings } from './rolloutLoop.js'
