/** What answers teach of an engine's speed, and what follows for the choice of a replica. */
import * as fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../common/index.js'
import type { Engine, Replica } from '../catalog/index.js'
import {
  CachedParts, EngineSpeed, FleetLoads, ReplicaHealth, selectReplica, type Prompt, type SelectionView
} from './index.js'

/** Answers after which an engine is known. */
const ANSWERS = 60
/** Error of the predicted first token that is allowed then, for engines within four times either way of the prior. */
const ALLOWED_ERROR = 0.3
const PRIOR_TIME_FOR_TOKEN = 1 / 40

interface TrueEngine {
  timeForToken: number
  firstDelay: number
}

/** Answers of prompts of all sizes, a part of whose tokens was held, with the engine's own variation and late ones. */
function learn (speed: EngineSpeed, { timeForToken, firstDelay }: TrueEngine, lateShare: number, seed: number): void {
  const random = new SeededRandom(seed)
  for (let answer = 0; answer < ANSWERS; answer++) {
    const tokens = 20 + random.next() * 10_000
    const late = random.next() < lateShare ? 3 : 1
    speed.onFirstToken(tokens, (firstDelay + tokens * timeForToken) * (0.9 + 0.2 * random.next()) * late)
  }
}

test('should predict the first token of any engine after some answers', () => {
  const engine = fc.record({
    timeForToken: fc.double({ min: PRIOR_TIME_FOR_TOKEN / 4, max: PRIOR_TIME_FOR_TOKEN * 4, noNaN: true }),
    firstDelay: fc.double({ min: 0, max: 80, noNaN: true })
  })
  fc.assert(fc.property(engine, fc.nat(1_000), fc.integer({ min: 2_000, max: 12_000 }), (trueEngine, seed, tokens) => {
    const speed = new EngineSpeed()
    learn(speed, trueEngine, 0, seed)
    const expected = trueEngine.firstDelay + tokens * trueEngine.timeForToken
    const error = Math.abs(speed.firstTokenAfter(tokens) - expected) / expected
    assert.ok(error <= ALLOWED_ERROR, `${speed.firstTokenAfter(tokens)} ms instead of ${expected}`)
  }), { seed: 41 })
})

test('should not take single late answers for a slow engine', () => {
  const speed = new EngineSpeed()
  learn(speed, { timeForToken: 1 / 125, firstDelay: 62 }, 0.05, 3)
  assert.ok(speed.timeForToken < 1 / 80, `${1 / speed.timeForToken} tokens a millisecond`)
})

const engine: Engine = { slots: 64, cacheTokens: 170_000, bytesPerToken: 35_136, linkMegabitsPerSecond: 1_500_000, models: ['m'] }
const prompt: Prompt = {
  model: 'm', inputTokens: 12_000, maximumOutputTokens: 60, parts: [{ id: 'shared', tokens: 9_000 }, { id: 'own', tokens: 3_000 }]
}
const replicas = ['holder', 'idle'].map((id): Replica => ({
  id, service: 's', address: `10.0.0.1:${id}`, zone: 'z', slots: 64, isDraining: false, weightVersions: { m: 1 }, startedAt: 1
}))

// A queue that takes a slow engine 250 ms takes a fast one 80 ms, and moving a hot prompt away costs it 72 ms of reading.
const queues = [
  { title: 'stay with a hot part behind a queue that a fast engine reads soon', timeForToken: 1 / 125, queued: 6_000, chosen: 'holder' },
  { title: 'leave it behind a queue that is longer than reading the part again', timeForToken: 1 / 125, queued: 20_000, chosen: 'idle' },
  { title: 'leave it on a slow engine as soon as reading it again is quicker', timeForToken: 1 / 12, queued: 20_000, chosen: 'idle' },
  { title: 'stay with it on a slow engine behind a short queue', timeForToken: 1 / 12, queued: 3_000, chosen: 'holder' }
]
for (const { title, timeForToken, queued, chosen } of queues) {
  test(`should ${title}`, () => {
    const speed = new EngineSpeed()
    learn(speed, { timeForToken, firstDelay: 20 }, 0, 5)
    const view: SelectionView = {
      loads: new FleetLoads(),
      health: new ReplicaHealth(),
      cachedParts: new CachedParts(),
      stores: { sourceOf: () => undefined, saveTargetOf: () => undefined },
      zone: 'z',
      instances: 1,
      random: new SeededRandom(1),
      now: 0,
      speed
    }
    // The link is slow enough that fetching from the holder does not decide.
    const slowLink = { ...engine, linkMegabitsPerSecond: 1 }
    view.cachedParts.onSent('holder', '/1', prompt.parts, engine.cacheTokens)
    view.loads.add('holder', { requests: 1, prefillTokens: queued, memoryTokens: queued })
    const demand = { prompt, engine: slowLink, saltFor: () => '/1', wantedVersion: undefined }
    assert.is(selectReplica({ candidates: replicas, tried: new Set(), demand }, view)?.replica.id, chosen)
  })
}

test.run()
