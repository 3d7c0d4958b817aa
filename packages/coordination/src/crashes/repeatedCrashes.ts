/**
 * Blocks requests that crash the replicas that run them. A request is identified by its features: a digest of the whole of it,
 * a digest of its content without its caller, and the parts of its prompt. Blocks are sent to all instances, and written to
 * the store for instances that start later or were partitioned meanwhile.
 */
import { contentDigest, type Milliseconds } from '../common/index.js'
import { CRASH_LIFETIME, CrashEvidence } from './crashEvidence.js'
import type { CrashBlock, CrashReport, CrashUpdate } from './messages.js'

/** What was answered and which crashes were observed is repeated in heartbeats for this long, since heartbeats may be lost. */
const UPDATE_LIFETIME: Milliseconds = 3_000
/** A block that causes another crash after it has expired lasts twice as long, up to this time. */
const MAXIMUM_BLOCK_LIFETIME: Milliseconds = 900_000
/** For how long after its end a block is renewed by a single crash. */
const PROBATION: Milliseconds = 600_000
/** An update arrives later than its ages say, so that an answer this long before a block may also be one after it. */
const UPDATE_DELAY: Milliseconds = 1_000
/** Interval at which a block's record in the store is checked, since the store may have lost it. */
const RECORD_CHECK_INTERVAL: Milliseconds = 10_000
const MAXIMUM_BLOCKS = 200
const BLOCK_NAME_LENGTH = 32
/** Limits on what one heartbeat carries; the newest go first. */
const MAXIMUM_REPORTS_SENT = 128
const MAXIMUM_ANSWERED_SENT = 128
const MAXIMUM_BLOCKS_SENT = 16

/** What identifies a request, and where it is served. */
export interface RequestIdentity {
  service: string
  /** Digest of the whole request. */
  fingerprint: string
  /** What it may have in common with other requests. */
  features: readonly string[]
}

/** A block as it is listed in the store. */
export interface ListedBlock {
  name: string
  features: readonly string[]
  /** Time from the last crash until the record was written. */
  age: Milliseconds
  /** Store revision of the record. */
  revision: number
}

/** A block that has to be written to the store. */
export interface UnwrittenBlock {
  name: string
  features: readonly string[]
  /** Time since the last crash. */
  age: Milliseconds
  /** Time until the block expires. */
  timeLeft: Milliseconds
}

interface Block {
  features: readonly string[]
  /** The first of the crashes that it was derived from. */
  firstCrashAt: Milliseconds
  lastCrashAt: Milliseconds
  lifetime: Milliseconds
  /** Whether it follows from the crashes that this instance knows; otherwise it was received from a peer or the store. */
  isDerived: boolean
  isObservedLocally: boolean
  /** When the store was last seen to have the record; undefined if it was not. */
  recordedAt: Milliseconds | undefined
}

/** Crashes that this instance and its peers observed, and the blocks that follow from them. */
export class RepeatedCrashes {
  private readonly _evidence = new CrashEvidence()
  private readonly _blocks = new Map<string, Block>()
  /** The blocks listed in the store, with the time at which each revision was first read. */
  private _listed = new Map<string, { revision: number, at: Milliseconds }>()
  /** Names of blocks to remove from the store. */
  private readonly _lifted = new Set<string>()
  private _reports: { report: CrashReport, at: Milliseconds, recordedAt: Milliseconds }[] = []
  private readonly _answered = new Map<string, Milliseconds>()
  private _isEvidenceNew = false

  /**
   * Records a request that was lost in a crash observed by this instance, to be reported to its peers.
   * @param at time of the crash
   */
  record (report: CrashReport, at: Milliseconds, now = at): void {
    if (this._add(report, at, true)) this._reports.push({ report, at, recordedAt: now })
  }

  /** Records that a replica has answered a request, so that its features did not cause the crashes before. */
  onAnswered ({ service, fingerprint, features }: RequestIdentity, isComplete: boolean, now: Milliseconds): void {
    const answered = isComplete ? [fingerprint, ...features] : features
    const suspected = this._evidence.onAnswered(service, answered, now)
    const blocked = [...this._blocks.values()].flatMap(block => block.features)
    const refuted = answered.filter(feature => suspected.includes(feature) || blocked.includes(feature))
    if (refuted.length === 0) return
    this._isEvidenceNew = true
    for (const feature of refuted) this._answered.set(feature, now)
    for (const [name, block] of this._blocks) if (this._remainingFeatures(block).length === 0) this._remove(name, true)
  }

  /** Applies an update from another instance. */
  receive ({ crashes, answeredFeatures, crashBlocks }: CrashUpdate, now: Milliseconds): void {
    for (const report of crashes) this._add(report, now - report.age, false)
    for (const [feature, age] of answeredFeatures) this._evidence.onFeatureAnswered(feature, now - age)
    for (const { features, age } of crashBlocks) this._receiveBlock(features, now - age)
    if (answeredFeatures.length > 0) this._isEvidenceNew = true
  }

  /** Replaces the listed blocks with those read from the store. A revision listed before keeps the time of its first read. */
  applyBlocks (listed: readonly ListedBlock[], now: Milliseconds): void {
    const before = this._listed
    this._listed = new Map()
    for (const { name, features, age, revision } of listed) {
      const known = before.get(name)
      const isNew = known?.revision !== revision
      const at = isNew ? now - age : known.at
      this._listed.set(name, { revision, at })
      if (!isNew) continue
      const block = this._blocks.get(name)
      if (block !== undefined) block.lastCrashAt = Math.max(block.lastCrashAt, at)
      else if (!this._isRefuted(features, at)) this._addReceived(name, features, at)
    }
  }

  /** Blocks that this instance has to write to the store, or to check there: those of which it observed a crash itself. */
  unwrittenBlocks (now: Milliseconds): UnwrittenBlock[] {
    this._refresh(now)
    return [...this._blocks].flatMap(([name, block]) => {
      const isDue = block.recordedAt === undefined || now - block.recordedAt >= RECORD_CHECK_INTERVAL
      if (!block.isObservedLocally || !isDue || this._effectiveFeatures(block, now).length === 0) return []
      return { name, features: block.features, age: now - block.lastCrashAt, timeLeft: block.lastCrashAt + block.lifetime - now }
    })
  }

  /** Records that a block is in the store; it is lifted again if its requests were answered in the meantime. */
  onBlockWritten (name: string, now: Milliseconds): void {
    const block = this._blocks.get(name)
    if (block === undefined) this._lifted.add(name)
    else block.recordedAt = now
  }

  /** Returns the names of blocks to remove from the store. Each is returned once. */
  takeLiftedBlocks (now: Milliseconds): string[] {
    this._refresh(now)
    const lifted = [...this._lifted]
    this._lifted.clear()
    return lifted
  }

  /** What to send to the other instances now. */
  update (now: Milliseconds): CrashUpdate {
    this._refresh(now)
    this._reports = this._reports.filter(({ recordedAt }) => now - recordedAt < UPDATE_LIFETIME)
    for (const [feature, at] of this._answered) if (now - at >= UPDATE_LIFETIME) this._answered.delete(feature)
    return {
      crashes: this._reports.slice(-MAXIMUM_REPORTS_SENT).map(({ report, at }) => ({ ...report, age: now - at })),
      answeredFeatures: [...this._answered].slice(-MAXIMUM_ANSWERED_SENT).map(([feature, at]) => [feature, now - at]),
      crashBlocks: this._activeBlocks(now).slice(-MAXIMUM_BLOCKS_SENT)
    }
  }

  /** The features for which a request must not be sent to any replica; undefined if it may be. */
  blockOf ({ fingerprint, features }: Pick<RequestIdentity, 'fingerprint' | 'features'>, now: Milliseconds): readonly string[] | undefined {
    this._refresh(now)
    for (const block of this._blocks.values()) {
      const effective = this._effectiveFeatures(block, now)
      const isMatch = effective.every(feature => feature === fingerprint || features.includes(feature))
      if (effective.length > 0 && isMatch) return effective
    }
    return undefined
  }

  private _add (report: CrashReport, at: Milliseconds, isObservedLocally: boolean): boolean {
    const isNew = this._evidence.add(report, at, isObservedLocally)
    if (!isNew) return false
    this._isEvidenceNew = true
    const features = [report.fingerprint, ...report.features]
    for (const block of this._blocks.values()) {
      if (at <= block.lastCrashAt || !block.features.every(feature => features.includes(feature))) continue
      if (at - block.lastCrashAt > block.lifetime) {
        block.lifetime = Math.min(MAXIMUM_BLOCK_LIFETIME, 2 * block.lifetime)
        block.recordedAt = undefined
      }
      block.lastCrashAt = at
    }
    return true
  }

  /** A known block keeps its time: blocks are passed on, so that it would grow with each delay. */
  private _receiveBlock (features: readonly string[], lastCrashAt: Milliseconds): void {
    const name = blockName(features)
    if (this._blocks.has(name) || this._isExplained(features)) return
    if (this._isRefuted(features, lastCrashAt - UPDATE_DELAY)) return
    this._addReceived(name, features, lastCrashAt)
  }

  /** Whether a block that this instance derived itself explains the crashes with these features. */
  private _isExplained (features: readonly string[]): boolean {
    return [...this._blocks.values()].some(block => block.isDerived && this._evidence.isExplainedBy(block.features, features))
  }

  private _isRefuted (features: readonly string[], time: Milliseconds): boolean {
    return features.every(feature => this._evidence.wasAnsweredSince(feature, time))
  }

  private _addReceived (name: string, features: readonly string[], lastCrashAt: Milliseconds): void {
    this._addBlock(name, {
      features,
      firstCrashAt: lastCrashAt,
      lastCrashAt,
      lifetime: CRASH_LIFETIME,
      isDerived: false,
      isObservedLocally: false,
      recordedAt: undefined
    })
  }

  private _addBlock (name: string, block: Block): void {
    this._blocks.set(name, block)
    if (this._blocks.size <= MAXIMUM_BLOCKS) return
    const oldest = this._blocks.keys().next()
    if (oldest.done !== true) this._blocks.delete(oldest.value)
  }

  /** Brings the blocks up to date with the evidence. */
  private _refresh (now: Milliseconds): void {
    if (this._isEvidenceNew) {
      this._isEvidenceNew = false
      this._deriveBlocks(now)
    }
    for (const [name, block] of this._blocks) {
      if (now - block.lastCrashAt > block.lifetime + PROBATION) this._blocks.delete(name)
      else if (this._remainingFeatures(block).length === 0) this._remove(name, false)
    }
  }

  private _deriveBlocks (now: Milliseconds): void {
    const current = new Set<string>()
    for (const { features, firstCrashAt, lastCrashAt, isObservedLocally } of this._evidence.causes(now)) {
      const name = blockName(features)
      current.add(name)
      const known = this._blocks.get(name)
      if (known === undefined) {
        this._addBlock(name, {
          features,
          firstCrashAt,
          lastCrashAt,
          lifetime: CRASH_LIFETIME,
          isDerived: true,
          isObservedLocally,
          recordedAt: undefined
        })
        continue
      }
      known.isDerived = true
      known.isObservedLocally ||= isObservedLocally
      known.lastCrashAt = Math.max(known.lastCrashAt, lastCrashAt)
    }
    for (const [name, block] of this._blocks) {
      // Crashes expire, and a block cannot be derived from the later ones alone.
      const hasEvidence = now - block.firstCrashAt <= CRASH_LIFETIME
      const isJudged = block.isDerived ? hasEvidence : this._isExplained(block.features)
      if (isJudged && !current.has(name)) this._remove(name, block.isObservedLocally)
    }
  }

  /** @param isLifted whether this instance removes the record from the store */
  private _remove (name: string, isLifted: boolean): void {
    const isRecorded = this._blocks.get(name)?.recordedAt !== undefined || this._listed.has(name)
    this._blocks.delete(name)
    if (isLifted && isRecorded) this._lifted.add(name)
  }

  private _activeBlocks (now: Milliseconds): CrashBlock[] {
    return [...this._blocks.values()].flatMap(block => {
      const features = this._effectiveFeatures(block, now)
      return features.length === 0 ? [] : { features, age: now - block.lastCrashAt }
    })
  }

  /** The features that a request must have to be blocked; none if the block has expired or was refuted. */
  private _effectiveFeatures (block: Block, now: Milliseconds): string[] {
    return now - block.lastCrashAt > block.lifetime ? [] : this._remainingFeatures(block)
  }

  /** The features of which no request was answered since the last crash. */
  private _remainingFeatures ({ features, lastCrashAt }: Block): string[] {
    return features.filter(feature => !this._evidence.wasAnsweredSince(feature, lastCrashAt))
  }
}

/** Names the block and its record in the store. */
function blockName (features: readonly string[]): string {
  return contentDigest(JSON.stringify([...features].sort())).slice(0, BLOCK_NAME_LENGTH)
}
