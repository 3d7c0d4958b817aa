/** Verifies crashes of replicas by opening connections, and records those that are. */
import {
  CrashVerification, replicaRunOf, type CrashReport, type Replica, type SuspectedReplica, type VerifiedCrash
} from '@wasabihead/coordination'
import type { GatewayState } from '../requests/index.js'

/** Performs what `CrashVerification` decides. */
export class CrashVerifier {
  private readonly _verification = new CrashVerification()

  constructor (private readonly _state: GatewayState) {}

  /** A connection to a replica ended during a request. */
  onConnectionLost (replica: Replica, report: CrashReport): void {
    const { channels, suspensionAwareNow } = this._state
    if (this._verification.add(suspectedOf(replica), report, suspensionAwareNow())) channels.probe(replica)
  }

  /** A connection to a replica was opened, or could not be. */
  onLink (replica: Replica, isConnected: boolean): void {
    const { catalog, channels, random, suspensionAwareNow } = this._state
    if (isConnected) {
      for (const id of this._verification.onConnected(suspectedOf(replica), suspensionAwareNow())) this._probe(id)
      return
    }
    const outcome = this._verification.onConnectFailed(replicaRunOf(replica))
    if (outcome !== 'probe-another') return this._record(outcome ?? [])
    const others = catalog.usableReplicas(replica.service).filter(({ id }) => id !== replica.id)
    if (others.length > 0) channels.probe(random.pick(others))
  }

  /** All connections to the replicas of a service fail. */
  onCutOff (service: string): void {
    this._verification.onCutOff(service)
  }

  /** A run of a replica was removed, or replaced by a new one. */
  onRunEnded (replica: Replica): void {
    this._record(this._verification.onRunEnded(replicaRunOf(replica)))
  }

  private _probe (id: string): void {
    const replica = this._state.catalog.replica(id)
    if (replica !== undefined) this._state.channels.probe(replica)
  }

  private _record (verified: readonly VerifiedCrash[]): void {
    const { crashes, log, metrics, suspensionAwareNow } = this._state
    const now = suspensionAwareNow()
    for (const { report, at } of verified) {
      crashes.record(report, at, now)
      metrics.count('verified_replica_crashes_total')
      log.decision('replica-crash-verified', {
        replicaRun: report.replicaRun, fingerprint: report.fingerprint, age: Math.round(now - at)
      })
    }
  }
}

function suspectedOf (replica: Replica): SuspectedReplica {
  return { id: replica.id, run: replicaRunOf(replica), service: replica.service }
}
