export { CallBudget, FLEET_RATES, type CallKind, type CallPriority, type FleetRates } from './callBudget.js'
export { HeldLease } from './heldLease.js'
export { LeaseRenewer, roleRecordSchema, type LeaseEffect, type LeaseMessage, type RoleRecord } from './roleLease.js'
export { SuspensionClock, type ClockReading } from './suspensionClock.js'
