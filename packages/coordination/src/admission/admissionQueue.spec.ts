import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../common/index.js'
import { AdaptiveLimit, AdmissionQueue, type AdmissionEffect, type AdmissionEntry } from './index.js'

let nextId = 0

function createQueue (limit = 4, maximumWaiting = 100): AdmissionQueue {
  return new AdmissionQueue({
    initialLimit: limit, minimumLimit: limit, maximumLimit: limit, maximumWaiting, random: new SeededRandom(1)
  })
}

function entryOf (change: Partial<AdmissionEntry> = {}): AdmissionEntry {
  return {
    id: nextId++,
    workspace: 'a',
    share: 1,
    maximumConcurrent: 1_000,
    requestClass: 'normal',
    requestKind: 'kind',
    deadline: 1e9,
    ...change
  }
}

interface EnteredRequest {
  entry: AdmissionEntry
  effects: AdmissionEffect[]
}

function enter (queue: AdmissionQueue, change: Partial<AdmissionEntry> = {}, now = 0): EnteredRequest {
  const entry = entryOf(change)
  return { entry, effects: queue.handle({ kind: 'enter', entry }, now) }
}

function admitted (effects: AdmissionEffect[]): number[] {
  return effects.flatMap(effect => effect.kind === 'admit' ? [effect.id] : [])
}

function refusalOf (effects: AdmissionEffect[], id: number) {
  const effect = effects.find(candidate => candidate.kind === 'refuse' && candidate.id === id)
  return effect?.kind === 'refuse' ? effect.refusal : undefined
}

/** Ends running requests one after another, and returns the entries admitted in turn, in order. */
function drain (queue: AdmissionQueue, first: number[], entries: AdmissionEntry[], now = 100): AdmissionEntry[] {
  const running = [...first]
  const order: AdmissionEntry[] = []
  for (let id = running.shift(); id !== undefined; id = running.shift()) {
    const next = admitted(queue.handle({ kind: 'leave', id, outcome: 'answered' }, now))
    running.push(...next)
    order.push(...next.flatMap(nextAdmitted => entries.filter(entry => entry.id === nextAdmitted)))
  }
  return order
}

test('should admit interactive before normal before batch, and batch once in ten turns', () => {
  const queue = createQueue(1)
  const first = enter(queue)
  const entries: AdmissionEntry[] = []
  for (const requestClass of ['batch', 'normal', 'interactive'] as const) {
    for (let index = 0; index < 12; index++) entries.push(enter(queue, { requestClass }).entry)
  }
  const classes = drain(queue, admitted(first.effects), entries).map(entry => entry.requestClass)
  assert.equal(classes.slice(0, 9), [...Array<string>(8).fill('interactive'), 'batch'])
  assert.is(classes.length, 36)
})

test('should leave room for interactive requests under a flood of batch', () => {
  const queue = createQueue(8)
  for (let index = 0; index < 50; index++) enter(queue, { requestClass: 'batch' })
  assert.is(queue.running, 6)
  assert.is(admitted(enter(queue, { requestClass: 'interactive' }).effects).length, 1)
})

const shares = [
  { title: 'equal', share: 1, expected: 10 },
  { title: 'threefold', share: 3, expected: 15 }
]
for (const { title, share, expected } of shares) {
  test(`should divide turns by ${title} shares when a workspace floods`, () => {
    const queue = createQueue(1)
    const first = enter(queue)
    const entries = Array.from({ length: 60 }, () => enter(queue, { workspace: 'flood' }).entry)
    entries.push(...Array.from({ length: 20 }, () => enter(queue, { workspace: 'late', share }).entry))
    const order = drain(queue, admitted(first.effects), entries).slice(0, 20)
    assert.ok(Math.abs(order.filter(entry => entry.workspace === 'late').length - expected) <= 1)
  })
}

test('should keep a workspace to its own maximum and give the rest to others', () => {
  const queue = createQueue(4)
  const held = Array.from({ length: 3 }, () => enter(queue, { maximumConcurrent: 2 }))
  assert.equal(held.map(({ effects }) => admitted(effects).length), [1, 1, 0])
  assert.is(admitted(enter(queue, { workspace: 'b' }).effects).length, 1)
})

test('should refuse at once a request that would miss its deadline, with a retry delay derived from the drain rate', () => {
  const queue = createQueue(1)
  for (let index = 0; index < 11; index++) enter(queue)
  const { entry, effects } = enter(queue, { deadline: 1_000 })
  const refusal = refusalOf(effects, entry.id)
  assert.is(refusal?.notRun, true)
  assert.ok((refusal?.retryAfter ?? 0) >= 2_000 && (refusal?.retryAfter ?? 0) <= 5_000)
})

test('should refuse a waiting request as soon as it can no longer meet its deadline', () => {
  const queue = createQueue(1)
  enter(queue)
  const { entry, effects } = enter(queue, { deadline: 1_000 })
  const wake = effects.find(effect => effect.kind === 'wake-at')
  assert.equal(wake, { kind: 'wake-at', at: 800 })
  assert.ok(refusalOf(queue.handle({ kind: 'wake' }, 801), entry.id))
  assert.is(queue.waiting, 0)
})

test('should evict the newest request of the longest workspace queue in the lowest class when the queue is full', () => {
  const queue = createQueue(1, 3)
  enter(queue)
  const flood = Array.from({ length: 3 }, () => enter(queue, { workspace: 'flood', requestClass: 'batch' }).entry)
  const { entry, effects } = enter(queue, { workspace: 'b', requestClass: 'batch' })
  assert.is(refusalOf(effects, flood.at(-1)?.id ?? -1)?.kind, 'overloaded')
  assert.is(refusalOf(effects, entry.id), undefined)
  const again = enter(queue, { workspace: 'flood', requestClass: 'batch' })
  assert.ok(refusalOf(again.effects, again.entry.id))
})

test('should free the slot of a caller that disconnects, waiting or running', () => {
  const queue = createQueue(1)
  const running = enter(queue)
  const waiting = enter(queue)
  queue.handle({ kind: 'cancel', id: waiting.entry.id }, 0)
  queue.handle({ kind: 'cancel', id: running.entry.id }, 0)
  assert.is(queue.running + queue.waiting, 0)
  assert.equal(queue.handle({ kind: 'leave', id: running.entry.id, outcome: 'answered' }, 1), [])
})

const latencies = [
  { title: 'shrink when latency rises past the tolerance', latency: (running: number) => running * 10, isMore: false },
  { title: 'grow while latency stays at its best', latency: () => 100, isMore: true }
]
for (const { title, latency, isMore } of latencies) {
  test(`should ${title}`, () => {
    const limit = new AdaptiveLimit({ initialLimit: 50, minimumLimit: 2, maximumLimit: 500 })
    for (let index = 0; index < 16; index++) limit.onEnded('kind', 100, 5)
    for (let index = 0; index < 2_000; index++) limit.onEnded('kind', latency(limit.limit), limit.limit)
    assert.is(limit.limit > 50, isMore)
    assert.ok(limit.limit >= 2 && limit.limit <= 500)
  })
}

test.run()
