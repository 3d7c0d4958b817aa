export {
  fingerprintOf, quarantineEntrySchema, quarantineRecordSchema, quarantineStateSchema,
  type QuarantineEntry, type QuarantineRecord, type QuarantineState, type QuarantineSubject, type QuarantineTrial
} from './messages.js'
export { MAXIMUM_ENTRIES, QuarantineTable } from './quarantineTable.js'
export {
  endTrial, mergeRecord, MAXIMUM_TRIAL_DURATION, TRIAL_TAKEOVER_AFTER, TrialPlanner, type TrialPlan, type TrialRequest
} from './trialPlan.js'
