/** What is learned from answers, and its effect on replica selection. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../common/index.js'
import type { Engine, Replica } from '../catalog/index.js'
import {
  CachedParts, EngineSpeed, FleetLoads, LearnedCosts, ReplicaHealth, ReplicaSlowdowns, selectReplica, ServiceRoom, SlotLimits
} from './index.js'

const INTERVAL = 40
const SPELL = 600
const USUAL = 120

// Guards against spells of 0.6 s that are noticed only when they are over, and against avoiding a replica long after one.
const spells: { title: string, slowAnswers: number, fastAnswers: number, idle: number, minimum: number, maximum: number }[] = [
  { title: 'after three slow answers', slowAnswers: 3, fastAnswers: 0, idle: 0, minimum: 1.9, maximum: 2.5 },
  { title: 'no more after three answers at the usual speed', slowAnswers: 10, fastAnswers: 3, idle: 0, minimum: 1, maximum: 1.25 },
  { title: 'no more after twice its length without an answer', slowAnswers: 10, fastAnswers: 0, idle: 2 * SPELL, minimum: 1, maximum: 1 },
  { title: 'never from one answer that is somewhat late', slowAnswers: 0, fastAnswers: 1, idle: 0, minimum: 1, maximum: 1 }
]
for (const { title, slowAnswers, fastAnswers, idle, minimum, maximum } of spells) {
  test(`should take a replica for slow ${title}`, () => {
    const slowdowns = new ReplicaSlowdowns()
    let now = 0
    for (let answer = 0; answer < slowAnswers; answer++) slowdowns.onFirstByte('a', USUAL, 2.5 * USUAL, now += INTERVAL)
    for (let answer = 0; answer < fastAnswers; answer++) slowdowns.onFirstByte('a', USUAL, 1.2 * USUAL, now += INTERVAL)
    const slowdown = slowdowns.of('a', now + idle)
    assert.ok(slowdown >= minimum && slowdown <= maximum, String(slowdown))
    assert.is(slowdowns.of('b', now), 1)
  })
}

function learned (run: number, answers: number, slowdowns = new ReplicaSlowdowns()): LearnedCosts {
  const room = new ServiceRoom()
  for (let answer = 0; answer < answers; answer++) room.onFreed(0, run, 0)
  return new LearnedCosts('s', room, slowdowns, new SlotLimits())
}

const load = { requests: 8, prefillTokens: 0, memoryTokens: 60_000 }
const costs: { title: string, run: number, answers: number, freed: number | undefined, slotWait: number | undefined }[] = [
  { title: 'nothing from few answers', run: 3_000, answers: 3, freed: undefined, slotWait: undefined },
  { title: 'what runs of 3 s free', run: 3_000, answers: 20, freed: 20, slotWait: 375 },
  { title: 'what runs of 1 s free', run: 1_000, answers: 20, freed: 60, slotWait: 125 },
  { title: 'bounded values from absurd answers', run: 1e9, answers: 20, freed: 3, slotWait: 2_000 }
]
for (const { title, run, answers, freed, slotWait } of costs) {
  test(`should learn ${title}`, () => {
    const estimate = learned(run, answers)
    assert.equal([estimate.tokensFreed(load), estimate.slotWait(load)], [freed, slotWait])
  })
}

const engine: Engine = { slots: 64, cacheTokens: 170_000, bytesPerToken: 35_136, linkMegabitsPerSecond: 1, models: ['m'] }
const prompt = { model: 'm', inputTokens: 6_000, maximumOutputTokens: 60, parts: [{ id: 'own', tokens: 6_000 }] }
const replicas = ['slow', 'busy'].map((id): Replica => ({
  id, service: 's', address: `10.0.0.1:${id}`, zone: 'z', slots: 64, isDraining: false, weightVersions: { m: 1 }, startedAt: 1
}))

for (const { isInForce, expected } of [{ isInForce: true, expected: 'busy' }, { isInForce: false, expected: 'slow' }]) {
  test(`should ${isInForce ? '' : 'not '}avoid a replica in a spell of slowness where learning is ${isInForce ? '' : 'not '}in force`, () => {
    const slowdowns = new ReplicaSlowdowns()
    for (let answer = 0; answer < 3; answer++) slowdowns.onFirstByte('slow', USUAL, 2.5 * USUAL, 0)
    const loads = new FleetLoads()
    loads.add('busy', { requests: 1, prefillTokens: 5_000, memoryTokens: 6_000 })
    const selection = selectReplica({
      candidates: replicas, tried: new Set(), demand: { prompt, engine, saltFor: () => '/1', wantedVersion: undefined }
    }, {
      loads,
      health: new ReplicaHealth(),
      cachedParts: new CachedParts(),
      stores: { sourceOf: () => undefined, saveTargetOf: () => undefined },
      speed: new EngineSpeed(),
      learned: isInForce ? learned(3_000, 20, slowdowns) : undefined,
      zone: 'z',
      instances: 1,
      random: new SeededRandom(1),
      now: 0
    })
    assert.is(selection?.replica.id, expected)
  })
}

// Guards against requests without a prompt that pile up at replicas whose slots are taken.
for (const { requests, isInForce, expected } of [
  { requests: 5, isInForce: true, expected: 0 },
  { requests: 6, isInForce: true, expected: 1 },
  { requests: 6, isInForce: false, expected: 0 }
]) {
  test(`should find ${expected} slots missing for a request beside ${requests} of 6${isInForce ? '' : ' where the queue is not in force'}`, () => {
    const loads = new FleetLoads()
    loads.add('slow', { requests, prefillTokens: 0, memoryTokens: 0 })
    const candidates = replicas.slice(0, 1).map(replica => ({ ...replica, slots: 6 }))
    const selection = selectReplica({ candidates, tried: new Set() }, {
      loads,
      health: new ReplicaHealth(),
      cachedParts: new CachedParts(),
      stores: { sourceOf: () => undefined, saveTargetOf: () => undefined },
      speed: new EngineSpeed(),
      learned: isInForce ? learned(100, 20) : undefined,
      zone: 'z',
      instances: 1,
      random: new SeededRandom(1),
      now: 0
    })
    assert.is(selection?.crowding, expected)
  })
}

test('should send fewer requests at a time while full replicas answer slowly, and as many as there are slots after that', () => {
  const limits = new SlotLimits()
  const answer = (latency: number, count: number): void => {
    for (let answers = 0; answers < count; answers++) limits.onAnswered('s', 6, 'r', latency, limits.limitOf('s', 6))
  }
  const seen: number[] = []
  for (const latency of [80, 300, 80]) {
    answer(latency, 200)
    seen.push(limits.limitOf('s', 6))
  }
  assert.equal([seen, limits.limitOf('s', 0)], [[6, 3, 6], Infinity])
})

test.run()
