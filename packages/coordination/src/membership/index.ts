export { memberSchema, MemberTable, type Member, type MemberOrder } from './memberTable.js'
export { INDIRECT_PROBE_TIMEOUT, Membership, PAUSE_THRESHOLD, PROBE_PERIOD, PROBE_TIMEOUT } from './membership.js'
export type {
  DigestPage, MemberDigest, MembershipEffect, MembershipMessage, PageAnswer
} from './messages.js'
export { UpdateQueue } from './updateQueue.js'
export { RegistrationSchedule } from './registrationSchedule.js'
