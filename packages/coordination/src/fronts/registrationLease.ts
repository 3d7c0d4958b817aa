/**
 * How long the registration of an instance lasts in the store. In a large fleet it lasts longer, so that the renewals of all
 * instances together stay at a constant rate. It only says where heartbeats go; heartbeats say who is alive.
 */
import type { Milliseconds } from '../common/index.js'
import { MAXIMUM_ADDRESSES } from './activeInstances.js'

/** Lease of a registration. */
export interface RegistrationLease {
  timeToLive: Milliseconds
  renewEvery: Milliseconds
}

/** All instances of a large fleet together renew ten registrations a second. */
const RENEWAL_INTERVAL_PER_INSTANCE: Milliseconds = 100
/** A store that is away for two renewals does not lose the registration. */
const RENEWALS_PER_LIFETIME = 3
/** The store grants no longer leases. */
const MAXIMUM_LIFETIME: Milliseconds = 600_000
/** A lease is kept while the one that is wanted differs by less than this factor, since another one takes three calls. */
const TOLERANCE = 2

/**
 * The lease to ask for.
 * @param usual in a fleet whose instances are all active
 * @param instances number of instances that may be running; undefined before the store's hosts are known
 */
export function registrationLease (usual: RegistrationLease, instances: number | undefined): RegistrationLease {
  if (instances === undefined || instances <= MAXIMUM_ADDRESSES) return usual
  const renewEvery = Math.max(usual.renewEvery, instances * RENEWAL_INTERVAL_PER_INSTANCE)
  const timeToLive = Math.min(MAXIMUM_LIFETIME, Math.max(usual.timeToLive, RENEWALS_PER_LIFETIME * renewEvery))
  return { timeToLive, renewEvery: Math.min(renewEvery, timeToLive / RENEWALS_PER_LIFETIME) }
}

/** Whether a lease is so different from the one that is wanted that another one is worth its calls. */
export function isLeaseOutdated (held: RegistrationLease, wanted: RegistrationLease): boolean {
  return wanted.timeToLive > TOLERANCE * held.timeToLive || held.timeToLive > TOLERANCE * wanted.timeToLive
}
