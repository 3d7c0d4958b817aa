/** Lists the fleet's claims for operators, from the shard heads and a limited number of segments in the key-value service. */
import { Result } from 'true-myth'
import {
  CLAIM_SHARD_COUNT, PlatformRefusedError, segmentKey, segmentSchema, shardHeadKey, shardHeadSchema,
  type Claim, type KeyValueService, type PlatformError, type ShardHead
} from '@wasabihead/coordination'

const MAXIMUM_SEGMENT_READS = 64

/** Selects claims; an absent field matches all. */
export interface ClaimFilter {
  state?: Claim['state']
  workspace?: string
  /** Maximum number of claims returned. */
  limit: number
}

/** A claim without the contents of its request and answer. */
export type ClaimSummary = Omit<Claim, 'request' | 'answer' | 'storedAnswer'> & { isAnswerKept: boolean, answerStatus?: number }

/** The claims found; `isComplete` is false if the limit or the maximum number of segment reads left some out. */
export interface ClaimListing {
  claims: ClaimSummary[]
  isComplete: boolean
}

/** Lists the claims of an environment. */
export class ClaimDirectory {
  constructor (private readonly _environment: string, private readonly _keyValue: KeyValueService) {}

  /** Reads each shard's head, then its segments from newest to oldest. Only the latest record of a claim is considered. */
  async list (filter: ClaimFilter): Promise<Result<ClaimListing, PlatformError>> {
    const listing: ClaimListing = { claims: [], isComplete: true }
    let readsLeft = MAXIMUM_SEGMENT_READS
    for (let shard = 0; shard < CLAIM_SHARD_COUNT; shard++) {
      const head = await this._readHead(shard)
      if (head.isErr) return Result.err(head.error)
      const { claims = [], segments = [] } = head.value ?? {}
      const seen = new Set<string>()
      addMatching(listing, claims, seen, filter)
      for (const { name } of segments.toReversed()) {
        if (readsLeft === 0 || listing.claims.length >= filter.limit) return Result.ok({ ...listing, isComplete: false })
        readsLeft -= 1
        const closed = await this._readSegment(shard, name)
        if (closed.isErr) return Result.err(closed.error)
        addMatching(listing, closed.value, seen, filter)
      }
    }
    const isTruncated = listing.claims.length > filter.limit
    return Result.ok({ claims: listing.claims.slice(0, filter.limit), isComplete: listing.isComplete && !isTruncated })
  }

  private async _readHead (shard: number): Promise<Result<ShardHead | undefined, PlatformError>> {
    const read = await this._keyValue.read(shardHeadKey(this._environment, shard))
    return read.map(entry => entry === undefined ? undefined : shardHeadSchema.parse(JSON.parse(entry.value)))
  }

  private async _readSegment (shard: number, name: string): Promise<Result<Claim[], PlatformError>> {
    const read = await this._keyValue.read(segmentKey(this._environment, shard, name))
    return read.andThen(entry => entry === undefined
      ? Result.err<Claim[], PlatformError>(
        new PlatformRefusedError('The claim log changed during the read', 'List the claims again'))
      : Result.ok<Claim[], PlatformError>(segmentSchema.parse(JSON.parse(entry.value))))
  }
}

/** Summarizes a claim for operators, without the contents of its request and answer. */
export function summaryOf ({ request, answer, storedAnswer, ...claim }: Claim): ClaimSummary {
  const status = (answer ?? storedAnswer)?.status
  return { ...claim, isAnswerKept: status !== undefined, ...(status === undefined ? {} : { answerStatus: status }) }
}

function addMatching (listing: ClaimListing, claims: readonly Claim[], seen: Set<string>, filter: ClaimFilter): void {
  for (const claim of claims) {
    const id = `${claim.workspace}\n${claim.idempotencyKey}`
    const isLatest = !seen.has(id)
    seen.add(id)
    const isWanted = (filter.state ?? claim.state) === claim.state && (filter.workspace ?? claim.workspace) === claim.workspace
    if (isLatest && isWanted) listing.claims.push(summaryOf(claim))
  }
}
