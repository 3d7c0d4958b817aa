export { MembershipLoop } from './membershipLoop.js'
