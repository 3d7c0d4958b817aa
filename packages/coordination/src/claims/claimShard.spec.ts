import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLAIM_LIMITS } from './claimLimits.js'
import { ClaimShard } from './claimShard.js'
import type { ClaimEffect, ClaimReport, ClaimRequest, ShardHead } from './messages.js'

const request: ClaimRequest = {
  workspace: 'harrowgate',
  idempotencyKey: 'key-1',
  kind: 'uniform-order',
  treatment: 'at-most-once',
  requestDigest: 'digest-1',
  attemptToken: 'attempt-1',
  executor: { host: 'entry-0', incarnation: 1 },
  recordedAt: 0
}

function createOwner (): ClaimShard {
  const shard = new ClaimShard({ host: 'entry-0', incarnation: 1 })
  shard.handle({ kind: 'take-over' }, 0)
  shard.handle({ kind: 'head-read', head: undefined, revision: 0 }, 0)
  shard.handle({ kind: 'head-written', revision: 1 }, 0)
  return shard
}

function writtenHead (effects: ClaimEffect[]): ShardHead {
  const write = effects.find(effect => effect.kind === 'write-head')
  if (write?.kind !== 'write-head') throw new Error('no head was written')
  return write.head
}

test('should grant a claim only after its head write succeeded', () => {
  const shard = createOwner()
  const effects = shard.handle({ kind: 'claim', callId: 1, request }, 0)
  assert.equal(effects.map(effect => effect.kind), ['write-head'])
  assert.equal(shard.handle({ kind: 'head-written', revision: 2 }, 0), [
    { kind: 'reply', callId: 1, reply: { kind: 'granted' } }
  ])
})

test('should grant nothing when another owner has written the head', () => {
  const shard = createOwner()
  shard.handle({ kind: 'claim', callId: 1, request }, 0)
  assert.equal(shard.handle({ kind: 'head-write-lost' }, 0), [
    { kind: 'reply', callId: 1, reply: { kind: 'not-owner' } }
  ])
  assert.not(shard.isOwner)
})

test('should grant a claim when the write is ambiguous and its own token is read back', () => {
  const shard = createOwner()
  const head = writtenHead(shard.handle({ kind: 'claim', callId: 1, request }, 0))
  assert.equal(shard.handle({ kind: 'head-write-ambiguous' }, 0), [{ kind: 'read-head' }])
  assert.equal(shard.handle({ kind: 'head-read', head, revision: 2 }, 0), [
    { kind: 'reply', callId: 1, reply: { kind: 'granted' } }
  ])
})

const repeats = [
  { title: 'the same attempt again', change: {}, reply: 'granted' },
  { title: 'another attempt of the same request', change: { attemptToken: 'attempt-2' }, reply: 'in-progress' },
  { title: 'another request under the same key', change: { requestDigest: 'digest-2' }, reply: 'conflict' }
]
for (const { title, change, reply } of repeats) {
  test(`should answer ${reply} to ${title}`, () => {
    const shard = createOwner()
    shard.handle({ kind: 'claim', callId: 1, request }, 0)
    shard.handle({ kind: 'head-written', revision: 2 }, 0)
    const effects = shard.handle({ kind: 'claim', callId: 2, request: { ...request, ...change } }, 0)
    const [effect] = effects
    assert.is(effect?.kind === 'reply' ? effect.reply.kind : undefined, reply)
  })
}

const report: ClaimReport = { workspace: 'harrowgate', idempotencyKey: 'key-1', attemptToken: 'attempt-1', state: 'done' }
const live = [{ host: 'entry-0', incarnation: 1 }]

test('should answer a report with a conflict only after a head write succeeded', () => {
  const shard = createOwner()
  assert.equal(shard.handle({ kind: 'report', callId: 1, report }, 0).map(({ kind }) => kind), ['write-head'])
  assert.equal(shard.handle({ kind: 'head-write-lost' }, 0), [{ kind: 'reply', callId: 1, reply: { kind: 'not-owner' } }])
})

test('should reply ambiguous where another owner wrote after an ambiguous write, which may have succeeded', () => {
  const shard = createOwner()
  const head = writtenHead(shard.handle({ kind: 'claim', callId: 1, request }, 0))
  shard.handle({ kind: 'head-write-ambiguous' }, 0)
  const effects = shard.handle({ kind: 'head-read', head: { ...head, writerToken: 'other' }, revision: 3 }, 0)
  assert.equal(effects, [{ kind: 'reply', callId: 1, reply: { kind: 'ambiguous', retryAfter: 1_000 } }])
})

test('should not grant a claim call that arrives after its attempt was released', () => {
  const shard = createOwner()
  shard.handle({ kind: 'report', callId: 1, report: { ...report, state: 'released', abandoned: request } }, 0)
  shard.handle({ kind: 'head-written', revision: 2 }, 0)
  const effects = shard.handle({ kind: 'claim', callId: 2, request }, 0)
  assert.equal(effects, [{ kind: 'reply', callId: 2, reply: { kind: 'conflict' } }])
})

test('should read the head again before it answers after a pause', () => {
  const shard = createOwner()
  const effects = shard.handle({ kind: 'find', callId: 1, workspace: 'harrowgate', idempotencyKey: 'key-1' }, 60_000)
  assert.equal(effects, [{ kind: 'read-head' }])
})

const orphans = [
  { title: 'unknown where its executor restarted', treatment: 'at-most-once', denied: false, state: 'unknown', attempt: 'attempt-1' },
  { title: 'released where its executor denies it', treatment: 'at-most-once', denied: true, state: 'released', attempt: 'attempt-1' },
  { title: "this instance's own where it is durable", treatment: 'durable', denied: false, state: 'claimed', attempt: 'entry-0/1/1/3' }
] as const
for (const { title, treatment, denied, state, attempt } of orphans) {
  test(`should make a claim ${title}`, () => {
    const shard = createOwner()
    const executor = { host: 'entry-9', incarnation: 1 }
    shard.handle({ kind: 'claim', callId: 1, request: { ...request, treatment, executor } }, 0)
    shard.handle({ kind: 'head-written', revision: 2 }, 0)
    const effects = denied
      ? shard.handle({ kind: 'attempt-denied', attemptToken: 'attempt-1' }, 0)
      : shard.handle({ kind: 'tick', wall: 0, live: [...live, { host: 'entry-9', incarnation: 2 }] }, 0)
    const [claim] = writtenHead(effects).claims
    assert.equal([claim?.state, claim?.attemptToken], [state, attempt])
  })
}

test('should name a segment in the head only after it is written, and refuse calls while the segment cannot be read', () => {
  const shard = new ClaimShard({ host: 'entry-0', incarnation: 1 }, { ...CLAIM_LIMITS, closeAtBytes: 1 })
  shard.handle({ kind: 'take-over' }, 0)
  shard.handle({ kind: 'head-read', head: undefined, revision: 0 }, 0)
  shard.handle({ kind: 'head-written', revision: 1 }, 0)
  shard.handle({ kind: 'claim', callId: 1, request }, 0)
  shard.handle({ kind: 'report', callId: 2, report }, 0)
  shard.handle({ kind: 'head-written', revision: 2 }, 0)
  shard.handle({ kind: 'head-written', revision: 3 }, 0)
  const [write] = shard.handle({ kind: 'tick', wall: 5, live }, 1_000)
  if (write?.kind !== 'write-segment') throw new Error('no segment was written')
  const head = writtenHead(shard.handle({ kind: 'segment-written', name: write.name }, 1_000))
  assert.equal([head.claims.length, head.segments.map(({ name }) => name)], [0, [write.name]])

  const reader = new ClaimShard({ host: 'entry-1', incarnation: 1 })
  reader.handle({ kind: 'take-over' }, 0)
  assert.equal(reader.handle({ kind: 'head-read', head, revision: 4 }, 0), [{ kind: 'read-segment', name: write.name }])
  reader.handle({ kind: 'claim', callId: 1, request }, 0)
  assert.equal(reader.handle({ kind: 'segment-read', name: write.name, text: undefined }, 0), [{ kind: 'read-head' }])
  const refused = reader.handle({ kind: 'head-read', head, revision: 4 }, 0)
  assert.equal(refused.map(effect => effect.kind === 'reply' && effect.reply.kind), ['unavailable'])
})

test('should remove a stored answer only after the head without its claim is written', () => {
  const forget = CLAIM_LIMITS.retentionWindow + CLAIM_LIMITS.windowMargin + 10
  const storedAnswer = { name: 'answer-1', status: 200, digest: 'digest', chunkCount: 2 }
  const shard = new ClaimShard({ host: 'entry-0', incarnation: 1 }, { ...CLAIM_LIMITS, closeAtBytes: 1 })
  shard.handle({ kind: 'take-over' }, 0)
  shard.handle({ kind: 'head-read', head: undefined, revision: 0 }, 0)
  shard.handle({ kind: 'head-written', revision: 1 }, 0)
  let now = 0
  const settle = (key: string, wall: number, answer: Partial<ClaimReport>): ClaimEffect[] => {
    shard.handle({ kind: 'tick', wall, live }, (now += 1_000))
    shard.handle({ kind: 'claim', callId: 1, request: { ...request, idempotencyKey: key, recordedAt: wall } }, (now += 1_000))
    shard.handle({ kind: 'head-written', revision: 2 }, (now += 1_000))
    shard.handle({ kind: 'report', callId: 2, report: { ...report, idempotencyKey: key, ...answer } }, (now += 1_000))
    const closing = shard.handle({ kind: 'head-written', revision: 3 }, (now += 1_000))
    const write = closing.find(effect => effect.kind === 'write-segment')
    if (write?.kind !== 'write-segment') throw new Error('no segment was written')
    assert.equal(shard.handle({ kind: 'segment-written', name: write.name }, (now += 1_000)).map(({ kind }) => kind), ['write-head'])
    return shard.handle({ kind: 'head-written', revision: 4 }, (now += 1_000))
  }
  assert.equal(settle('key-1', 1, { storedAnswer }).filter(({ kind }) => kind === 'remove-answer'), [])
  const removed = settle('key-2', forget, {}).filter(({ kind }) => kind === 'remove-answer')
  assert.equal(removed, [{ kind: 'remove-answer', storedAnswer }])
})

test('should never write a head above its maximum size, however many reports are pending, and answer them all', () => {
  const limits = { ...CLAIM_LIMITS, headMaximumBytes: 6_000, closeAtBytes: 3_000 }
  const shard = new ClaimShard({ host: 'entry-0', incarnation: 1 }, limits)
  const answered = new Set<number>()
  let now = 0
  const pump = (effects: ClaimEffect[]): void => {
    now += 1_000
    for (const effect of effects) {
      if (effect.kind === 'reply') answered.add(effect.callId)
      if (effect.kind === 'wake-after') pump(shard.handle({ kind: 'wake' }, now + effect.delay))
      if (effect.kind === 'write-segment') pump(shard.handle({ kind: 'segment-written', name: effect.name }, now))
      if (effect.kind !== 'write-head') continue
      assert.ok(Buffer.byteLength(JSON.stringify(effect.head.claims)) <= limits.headMaximumBytes)
      pump(shard.handle({ kind: 'head-written', revision: now }, now))
    }
  }
  shard.handle({ kind: 'take-over' }, now)
  pump(shard.handle({ kind: 'head-read', head: undefined, revision: 0 }, now))
  pump(shard.handle({ kind: 'tick', wall: 1, live }, now))
  const idempotencyKeys = Array.from({ length: 8 }, (_, index) => `key-${index}`)
  idempotencyKeys.forEach((idempotencyKey, index) => {
    pump(shard.handle({ kind: 'claim', callId: index, request: { ...request, idempotencyKey } }, now))
  })
  // Each character of the answer takes three bytes in the service.
  const answer = { status: 200, body: '\u20ac'.repeat(400) }
  pump(idempotencyKeys.flatMap((idempotencyKey, index) =>
    shard.handle({ kind: 'report', callId: 100 + index, report: { ...report, idempotencyKey, answer } }, now)))
  assert.is(answered.size, 2 * idempotencyKeys.length)
})

const DAY = 86_400_000
const keys = [
  { title: 'a key older than the window', key: keyOf(DAY), reply: 'expired' },
  { title: 'a key from the future', key: keyOf(4 * DAY), reply: 'expired' },
  { title: 'a key inside the window', key: keyOf(3 * DAY - 1), reply: 'granted' },
  { title: 'an opaque key', key: 'order-77', reply: 'granted' }
]
for (const { title, key, reply } of keys) {
  test(`should answer ${reply} to ${title}`, () => {
    const shard = createOwner()
    shard.handle({ kind: 'tick', wall: 3 * DAY, live }, 0)
    const effects = shard.handle({ kind: 'claim', callId: 1, request: { ...request, idempotencyKey: key } }, 0)
    const answered = effects[0]?.kind === 'reply' ? effects : shard.handle({ kind: 'head-written', revision: 2 }, 0)
    assert.is(answered[0]?.kind === 'reply' ? answered[0].reply.kind : undefined, reply)
  })
}

function keyOf (time: number): string {
  const digits = time.toString(16).padStart(12, '0')
  return `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-000000000000`
}

test.run()
