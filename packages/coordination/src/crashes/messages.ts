/** What instances tell each other about crashes of replicas. Ages are milliseconds; clocks of two hosts are not compared. */
import * as z from 'zod'

const MAXIMUM_FEATURES = 64

const featureSchema = z.string().min(1).max(256)

/** A crash of a replica, and one of the requests that were lost with it. */
export const crashReportSchema = z.object({
  /** Digest of the whole request. */
  fingerprint: featureSchema,
  /** The replica's run that crashed; see `replicaRunOf`. */
  replicaRun: z.string(),
  service: z.string().default(''),
  /** What else the request may have in common with others; empty if its answer had begun, since the crash has another cause. */
  features: z.array(featureSchema).max(MAXIMUM_FEATURES).default([]),
  age: z.number().nonnegative().default(0)
})
/** A crash of a replica, and one of the requests that were lost with it. */
export type CrashReport = z.infer<typeof crashReportSchema>

/** Requests with all of these features are blocked. */
export const crashBlockSchema = z.object({
  features: z.array(featureSchema).min(1).max(MAXIMUM_FEATURES),
  /** Time since the last crash. */
  age: z.number().nonnegative()
})
/** Requests with all of these features are blocked. */
export type CrashBlock = z.infer<typeof crashBlockSchema>

/** The fields of a heartbeat about crashes. */
export const crashUpdateSchema = z.object({
  /** Crashes of replicas, each with one of the requests that were lost in it. */
  crashes: z.array(crashReportSchema).default([]),
  /** Features of requests that were answered after others with them were lost in crashes, with the time since the answer. */
  answeredFeatures: z.array(z.tuple([featureSchema, z.number().nonnegative()])).default([]),
  crashBlocks: z.array(crashBlockSchema).default([])
})
/** The fields of a heartbeat about crashes. */
export type CrashUpdate = z.infer<typeof crashUpdateSchema>
