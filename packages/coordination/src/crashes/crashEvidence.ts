/**
 * Finds what the requests that crash replicas have in common. Each request that a crashed replica had not begun to answer is
 * a possible cause. A feature that causes crashes is among the features of such a request at each of them, and no request
 * with it is answered meanwhile.
 */
import type { Milliseconds } from '../common/index.js'
import type { CrashReport } from './messages.js'

/** Number of crashes after which the requests with their common features are blocked. */
const CRASHES_TO_BLOCK = 3
/** Crashes expire after this time. */
export const CRASH_LIFETIME: Milliseconds = 60_000
/** Crashes that follow each other more closely may have one external cause, such as a loss of power. */
const EPISODE_GAP: Milliseconds = 200
/** Episodes needed for features of requests that were answered before their crashes, or are unknown to this instance. */
const EPISODES_IF_ANSWERED_BEFORE = 3
const EPISODES_IF_UNKNOWN = 2
/** Episodes needed if nothing at all is answered meanwhile, so that the replicas may crash for another reason. */
const EPISODES_IF_NOTHING_ANSWERED = 5
/** A replica takes longer to come back, so that a later report about the same run is one of another crash. */
const SAME_CRASH_WINDOW: Milliseconds = 1_000
/** Limits on what is retained; the oldest is evicted first. */
const MAXIMUM_CRASHES = 500
const MAXIMUM_REQUESTS_OF_CRASH = 256
const MAXIMUM_ANSWERED = 20_000

/** Features that are common to the requests of several crashes. */
export interface CrashCause {
  /** Sorted. No evidence tells which of them causes the crashes, so that only requests with all of them are blocked. */
  features: string[]
  firstCrashAt: Milliseconds
  lastCrashAt: Milliseconds
  /** Whether this instance itself observed one of the crashes. */
  isObservedLocally: boolean
}

interface Crash {
  run: string
  service: string
  at: Milliseconds
  isObservedLocally: boolean
  /** Features of the requests that the replica had not begun to answer, by fingerprint; the fingerprint is one of them. */
  requests: Map<string, readonly string[]>
}

/** Crashes, the requests that were lost in them, and the features of requests that were answered. */
export class CrashEvidence {
  private _crashes: Crash[] = []
  /** When a request with a feature was last lost in a crash. */
  private readonly _lostAt = new Map<string, Milliseconds>()
  /** When a request with a feature was last answered, least recently answered first. */
  private readonly _answeredAt = new Map<string, Milliseconds>()
  private readonly _serviceAnsweredAt = new Map<string, Milliseconds>()

  /** Adds a request that was lost in a crash; returns whether it is new. */
  add ({ fingerprint, replicaRun, service, features }: CrashReport, at: Milliseconds, isObservedLocally: boolean): boolean {
    let crash = this._crashes.find(known => known.run === replicaRun && Math.abs(known.at - at) < SAME_CRASH_WINDOW)
    if (crash === undefined) {
      crash = { run: replicaRun, service, at, isObservedLocally, requests: new Map() }
      this._crashes.push(crash)
      if (this._crashes.length > MAXIMUM_CRASHES) this._crashes.shift()
    }
    crash.isObservedLocally ||= isObservedLocally
    if (crash.requests.has(fingerprint) || crash.requests.size >= MAXIMUM_REQUESTS_OF_CRASH) return false
    crash.requests.set(fingerprint, [fingerprint, ...features])
    for (const feature of [fingerprint, ...features]) {
      this._lostAt.set(feature, Math.max(crash.at, this._lostAt.get(feature) ?? -Infinity))
    }
    return true
  }

  /** Records that a replica has answered a request; returns its features that were suspected until then. */
  onAnswered (service: string, features: readonly string[], at: Milliseconds): string[] {
    const suspected = features.filter(feature => {
      const lostAt = this._lostAt.get(feature)
      return lostAt !== undefined && !this.wasAnsweredSince(feature, lostAt)
    })
    for (const feature of features) this.onFeatureAnswered(feature, at)
    this._serviceAnsweredAt.set(service, Math.max(at, this._serviceAnsweredAt.get(service) ?? -Infinity))
    return suspected
  }

  /** Records that a request with a feature was answered. */
  onFeatureAnswered (feature: string, at: Milliseconds): void {
    const latest = Math.max(at, this._answeredAt.get(feature) ?? -Infinity)
    this._answeredAt.delete(feature)
    this._answeredAt.set(feature, latest)
    if (this._answeredAt.size <= MAXIMUM_ANSWERED) return
    const oldest = this._answeredAt.keys().next()
    if (oldest.done !== true) this._answeredAt.delete(oldest.value)
  }

  /** Whether a request with the feature was answered at or after a time. */
  wasAnsweredSince (feature: string, time: Milliseconds): boolean {
    return (this._answeredAt.get(feature) ?? -Infinity) >= time
  }

  /** Whether enough crashes with all of these features are known, and a cause without one of them was there each time. */
  isExplainedBy (cause: readonly string[], features: readonly string[]): boolean {
    if (features.every(feature => cause.includes(feature))) return false
    const crashes = this._crashes.filter(crash => hasLost(crash, features))
    return crashes.length >= CRASHES_TO_BLOCK && crashes.every(crash => hasLost(crash, cause))
  }

  /** The causes that explain the crashes: the one that explains most comes first, and the others explain what it does not. */
  causes (now: Milliseconds): CrashCause[] {
    this._crashes = this._crashes.filter(({ at }) => now - at <= CRASH_LIFETIME)
    for (const [feature, at] of this._lostAt) if (now - at > CRASH_LIFETIME) this._lostAt.delete(feature)
    const unexplained = this._crashesByFeature()
    const causes: CrashCause[] = []
    for (let feature = mostFrequent(unexplained); feature !== undefined; feature = mostFrequent(unexplained)) {
      const crashes = (unexplained.get(feature) ?? []).sort((left, right) => left.at - right.at)
      const features = this._commonFeatures(feature, crashes)
      if (!this._isConclusive(features, crashes)) {
        unexplained.delete(feature)
        continue
      }
      causes.push({
        features: features.sort(),
        firstCrashAt: crashes[0]?.at ?? now,
        lastCrashAt: crashes.at(-1)?.at ?? now,
        isObservedLocally: crashes.some(({ isObservedLocally }) => isObservedLocally)
      })
      const explained = new Set(crashes)
      for (const [other, its] of unexplained) unexplained.set(other, its.filter(crash => !explained.has(crash)))
    }
    return causes
  }

  /** For each feature, the crashes since a request with it was last answered. */
  private _crashesByFeature (): Map<string, Crash[]> {
    const byFeature = new Map<string, Crash[]>()
    for (const crash of this._crashes) {
      for (const feature of new Set([...crash.requests.values()].flat())) {
        if (this.wasAnsweredSince(feature, crash.at)) continue
        const crashes = byFeature.get(feature)
        if (crashes === undefined) byFeature.set(feature, [crash])
        else crashes.push(crash)
      }
    }
    return byFeature
  }

  /** The features that all requests with this one share in these crashes, without those of requests answered in between. */
  private _commonFeatures (feature: string, crashes: readonly Crash[]): string[] {
    const requests = crashes.flatMap(crash => [...crash.requests.values()].filter(features => features.includes(feature)))
    const firstAt = crashes[0]?.at ?? -Infinity
    return [...new Set(requests[0])].filter(candidate =>
      requests.every(features => features.includes(candidate)) && !this.wasAnsweredSince(candidate, firstAt))
  }

  private _isConclusive (features: readonly string[], crashes: readonly Crash[]): boolean {
    const first = crashes[0]
    if (first === undefined || crashes.length < CRASHES_TO_BLOCK) return false
    // A block of one request costs no other request.
    if (features.some(feature => first.requests.has(feature))) return true
    const episodes = this._episodesOf(crashes)
    const isServiceAnswering = crashes.some(({ service }) => (this._serviceAnsweredAt.get(service) ?? -Infinity) >= first.at)
    if (!isServiceAnswering) return episodes >= EPISODES_IF_NOTHING_ANSWERED
    const isKnown = features.every(feature => this._answeredAt.has(feature))
    return episodes >= (isKnown ? EPISODES_IF_ANSWERED_BEFORE : EPISODES_IF_UNKNOWN)
  }

  /** Number of times at which these crashes were most of all crashes; at other times they have another cause. */
  private _episodesOf (crashes: readonly Crash[]): number {
    let episodes = 0
    let begunAt = -Infinity
    for (const { at } of crashes) {
      if (at - begunAt < EPISODE_GAP) continue
      begunAt = at
      const explained = crashes.filter(crash => Math.abs(crash.at - at) < EPISODE_GAP).length
      const all = this._crashes.filter(crash => Math.abs(crash.at - at) < EPISODE_GAP).length
      if (explained * 2 >= all) episodes += 1
    }
    return episodes
  }
}

/** Whether a request with all of these features was lost in the crash. */
function hasLost ({ requests }: Crash, features: readonly string[]): boolean {
  return [...requests.values()].some(lost => features.every(feature => lost.includes(feature)))
}

/** The feature with the most crashes; among those, the one that most different requests have. */
function mostFrequent (crashesByFeature: ReadonlyMap<string, readonly Crash[]>): string | undefined {
  let best: { feature: string, crashes: readonly Crash[], requests: number | undefined } | undefined
  for (const [feature, crashes] of crashesByFeature) {
    if (crashes.length < CRASHES_TO_BLOCK || crashes.length < (best?.crashes.length ?? 0)) continue
    if (best === undefined || crashes.length > best.crashes.length) {
      best = { feature, crashes, requests: undefined }
      continue
    }
    best.requests ??= countRequests(best.feature, best.crashes)
    const requests = countRequests(feature, crashes)
    if (requests > best.requests) best = { feature, crashes, requests }
  }
  return best?.feature
}

function countRequests (feature: string, crashes: readonly Crash[]): number {
  const fingerprints = crashes.flatMap(({ requests }) => (
    [...requests].flatMap(([fingerprint, features]) => features.includes(feature) ? fingerprint : [])))
  return new Set(fingerprints).size
}
