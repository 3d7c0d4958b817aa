/**
 * Proof: a request that crashes each replica it runs on crashes only its first runs, at hosts not yet informed of it, and
 * one trial, plus one trial for each kill of a host. Each second it is sent again through every host, while messages are
 * lost, hosts are killed, and the key-value service is up or down.
 */
import { CrashReplay, ReplayedHost, type CrashEvent, type CrashReplayOptions, type HostFactory } from '@wasabihead/experiments'
import { Proof, type ProofRun, type Violation } from './proof.js'

const OPTIONS: CrashReplayOptions = {
  hosts: 12, replicas: 16, length: 240_000, harmlessRate: 2, isServiceDown: false, lossShare: 0.1, kills: 6, hasQuarantine: true
}
/** Trials that the crashing request may run when no host is killed. */
const TRIALS_WITHOUT_KILLS = 1

/** Checks a history against the promise alone, not how it is kept. */
export function checkCrashingRequest (history: readonly CrashEvent[]): Violation[] {
  return [
    ...findForbiddenRuns(history), ...findConcurrentTrials(history),
    ...findTooManyTrials(history), ...findWrongFinalStates(history)
  ]
}

/** Finds runs at a host that knows the request as quarantined, and non-trial runs at a host that knows it as suspect. */
function findForbiddenRuns (history: readonly CrashEvent[]): Violation[] {
  const known = new Map<string, string>()
  return history.flatMap((event): Violation[] => {
    if (event.kind === 'killed') {
      for (const key of [...known.keys()].filter(key => key.startsWith(`${event.host}|`))) known.delete(key)
    }
    if (event.kind === 'knows') known.set(`${event.host}|${event.fingerprint}`, event.state)
    if (event.kind !== 'began') return []
    const state = known.get(`${event.host}|${event.fingerprint}`)
    const isForbidden = state === 'quarantined' || (state === 'suspect' && !event.isTrial)
    return isForbidden ? [{ problem: `a request known as ${state} ran freely`, evidence: [JSON.stringify(event)] }] : []
  })
}

/** Finds two trials that run at the same time, apart from those whose host was killed. */
function findConcurrentTrials (history: readonly CrashEvent[]): Violation[] {
  const holders = new Set<string>()
  return history.flatMap((event): Violation[] => {
    if (event.kind === 'killed') holders.delete(event.host)
    if (event.kind === 'ended' && event.isTrial) holders.delete(event.host)
    if (event.kind !== 'began' || !event.isTrial) return []
    holders.add(event.host)
    return holders.size <= 1 ? [] : [{ problem: 'two trials at a time', evidence: [JSON.stringify(event)] }]
  })
}

function findTooManyTrials (history: readonly CrashEvent[]): Violation[] {
  const kills = history.filter(({ kind }) => kind === 'killed').length
  const crashed = history.filter(event => event.kind === 'began' && event.isTrial && event.fingerprint === 'crashing')
  if (crashed.length <= TRIALS_WITHOUT_KILLS + kills) return []
  return [{ problem: `${crashed.length} trials with ${kills} kills`, evidence: crashed.map(event => JSON.stringify(event)) }]
}

function findWrongFinalStates (history: readonly CrashEvent[]): Violation[] {
  return history.flatMap((event): Violation[] => event.kind === 'final' && event.isCrashing && event.state !== 'quarantined'
    ? [{ problem: 'a host would still run the crashing request', evidence: [JSON.stringify(event)] }]
    : [])
}

/** Proves the bound on the runs of a crashing request; even seeds run with the key-value service down. */
export class CrashingRequestProof extends Proof {
  override readonly name = 'crashing-request'
  override readonly promise = 'A request that crashes replicas costs its first runs and one trial, and one more for each killed host'
  override readonly failures = ['the request sent again through every host', 'service down', 'lost messages', 'kills of hosts']

  constructor (private readonly _makeKeeper: HostFactory = (name, world) => new ReplayedHost(name, world)) {
    super()
  }

  override run (seed: number): ProofRun {
    const isServiceDown = seed % 2 === 0
    const replay = new CrashReplay(seed, { ...OPTIONS, isServiceDown }, this._makeKeeper)
    replay.run()
    const { history, replicasLost } = replay
    const count = (isCounted: (event: CrashEvent) => boolean): number => history.filter(isCounted).length
    return {
      counts: {
        ...(isServiceDown ? { lostWithServiceDown: replicasLost } : { lostWithServiceUp: replicasLost }),
        kills: count(({ kind }) => kind === 'killed'),
        trials: count(event => event.kind === 'began' && event.isTrial),
        harmlessQuarantined: new Set(history.flatMap(event =>
          event.kind === 'final' && !event.isCrashing && event.state === 'quarantined' ? [event.fingerprint] : [])).size
      },
      violations: checkCrashingRequest(history)
    }
  }
}
