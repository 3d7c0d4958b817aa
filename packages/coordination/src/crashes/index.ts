export { CrashVerification, type SuspectedReplica, type VerifiedCrash } from './crashVerification.js'
export { crashBlockSchema, crashUpdateSchema, type CrashBlock, type CrashReport, type CrashUpdate } from './messages.js'
export { RepeatedCrashes, type ListedBlock, type RequestIdentity, type UnwrittenBlock } from './repeatedCrashes.js'
