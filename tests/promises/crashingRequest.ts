/**
 * Proof: a request that crashes each replica it runs on costs its first runs, at hosts that could not know, and one trial;
 * a further trial only for each kill of a host. It is sent again through every host in each second, while messages are
 * lost, hosts are killed, and the key-value service is up or down.
 */
import { CrashReplay, ReplayedKeeper, type CrashEvent, type CrashReplayOptions, type KeeperMaker } from '@wasabihead/experiments'
import { Proof, type ProofRun, type Violation } from './proof.js'

const OPTIONS: CrashReplayOptions = {
  hosts: 12, replicas: 16, length: 240_000, harmlessRate: 2, isServiceDown: false, lossShare: 0.1, kills: 6, isGuarded: true
}
/** Trials that a request may crash where no host is killed. */
const TRIALS = 1

/** Judges a history; knows only the promise. */
export function checkCrashingRequest (history: readonly CrashEvent[]): Violation[] {
  return [...findKnowingRuns(history), ...findSharedTrials(history), ...findTooManyTrials(history), ...findWrongEnds(history)]
}

/** A host that knows a request as suspect runs it in a trial only; one that knows it as quarantined, not at all. */
function findKnowingRuns (history: readonly CrashEvent[]): Violation[] {
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

/** No two trials run at a time, but for those whose host was killed. */
function findSharedTrials (history: readonly CrashEvent[]): Violation[] {
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
  if (crashed.length <= TRIALS + kills) return []
  return [{ problem: `${crashed.length} trials with ${kills} kills`, evidence: crashed.map(event => JSON.stringify(event)) }]
}

function findWrongEnds (history: readonly CrashEvent[]): Violation[] {
  return history.flatMap((event): Violation[] => event.kind === 'final' && event.isCrashing && event.state !== 'quarantined'
    ? [{ problem: 'a host would still run the crashing request', evidence: [JSON.stringify(event)] }]
    : [])
}

/** The proof. */
export class CrashingRequestProof extends Proof {
  override readonly name = 'crashing-request'
  override readonly promise = 'A request that crashes replicas costs its first runs and one trial, and one more for each killed host'
  override readonly failures = ['the request sent again through every host', 'service down', 'lost messages', 'kills of hosts']

  constructor (private readonly _makeKeeper: KeeperMaker = (name, world) => new ReplayedKeeper(name, world)) {
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
