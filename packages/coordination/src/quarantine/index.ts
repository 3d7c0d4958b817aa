export {
  fingerprintOf, quarantineEntrySchema, quarantineRecordSchema, quarantineStateSchema,
  type QuarantineEntry, type QuarantineRecord, type QuarantineState, type QuarantineSubject, type QuarantineTrial
} from './messages.js'
export { MAXIMUM_ENTRIES, QuarantineTable } from './quarantineTable.js'
export {
  endTrial, mergeRecord, TRIAL_BOUND, TRIAL_TAKEOVER_AFTER, TrialWatch, type TrialPlan, type TrialRequest
} from './trialPlan.js'
