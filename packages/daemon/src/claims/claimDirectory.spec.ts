import { Result } from 'true-myth'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { segmentKey, shardHeadKey, type Claim, type KeyValueService } from '@wasabihead/coordination'
import { ClaimDirectory } from './claimDirectory.js'

const claim: Claim = {
  workspace: 'harrowgate',
  idempotencyKey: 'key-1',
  kind: 'uniform-order',
  treatment: 'at-most-once',
  requestDigest: 'digest',
  attemptToken: 'attempt-1',
  executor: { host: 'entry-0', incarnation: 1 },
  state: 'unknown',
  recordedAt: 0,
  request: 'a body that operators must not see'
}
const older: Claim = { ...claim, state: 'released' }
const other: Claim = { ...claim, workspace: 'trent', state: 'done', answer: { status: 200, body: 'an answer' } }
const owner = { host: 'entry-0', incarnation: 1 }
const segment = { name: 's-1', digest: '', count: 2, sizeBytes: 1, closedAt: 0 }
const values = new Map([
  [shardHeadKey('trial', 3), JSON.stringify({ writerToken: 't', epoch: 1, owner, claims: [claim], segments: [segment] })],
  [segmentKey('trial', 3, 's-1'), JSON.stringify([older, other])]
])
const keyValue = {
  read: async (key: string) => {
    const value = values.get(key)
    return Result.ok(value === undefined ? undefined : { key, value, revision: 1 })
  }
} as unknown as KeyValueService

const cases = [
  { title: 'the latest record of each claim', filter: {}, found: ['harrowgate unknown', 'trent done'], isComplete: true },
  { title: 'no record that a later one replaced', filter: { state: 'released' as const }, found: [], isComplete: true },
  { title: 'the claims of one workspace', filter: { workspace: 'trent' }, found: ['trent done'], isComplete: true },
  { title: 'no more claims than the limit', filter: { limit: 1 }, found: ['harrowgate unknown'], isComplete: false }
]
for (const { title, filter, found, isComplete } of cases) {
  test(`should list ${title}`, async () => {
    const listing = await new ClaimDirectory('trial', keyValue).list({ limit: 10, ...filter })
    const { claims } = listing.unwrapOr({ claims: [], isComplete: false })
    assert.equal(claims.map(({ workspace, state }) => `${workspace} ${state}`), found)
    assert.is(listing.unwrapOr({ claims: [], isComplete: !isComplete }).isComplete, isComplete)
    assert.not(claims.some(listed => 'request' in listed || 'answer' in listed))
  })
}

test.run()
