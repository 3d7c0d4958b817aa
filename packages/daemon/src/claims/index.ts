export { ClaimCoordinator } from './claimCoordinator.js'
