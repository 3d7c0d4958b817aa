import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ClaimShard } from './claimShard.js'
import type { ClaimEffect, ClaimRequest, ShardHead } from './messages.js'

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

test('should grant a claim only after its head write was won', () => {
  const shard = createOwner()
  const effects = shard.handle({ kind: 'claim', callId: 1, request }, 0)
  assert.equal(effects.map(effect => effect.kind), ['write-head'])
  assert.equal(shard.handle({ kind: 'head-written', revision: 2 }, 0), [
    { kind: 'reply', callId: 1, reply: { kind: 'granted' } }
  ])
})

test('should grant nothing when another owner won the slot', () => {
  const shard = createOwner()
  shard.handle({ kind: 'claim', callId: 1, request }, 0)
  assert.equal(shard.handle({ kind: 'head-write-lost' }, 0), [
    { kind: 'reply', callId: 1, reply: { kind: 'not-owner' } }
  ])
  assert.not(shard.isOwner)
})

test('should grant when the answer of a write was lost and its own token is read back', () => {
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

test.run()
