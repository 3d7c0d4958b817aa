export { RolloutPlanner, type RolloutSettings, type WeightOrder } from './rolloutPlanner.js'
