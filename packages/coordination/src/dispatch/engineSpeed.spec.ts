/** Estimates of engine speed from answers, and their effect on replica selection. */
import * as fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../common/index.js'
import type { Engine, Replica } from '../catalog/index.js'
import {
  CachedParts, EngineSpeed, FleetLoads, ReplicaHealth, selectReplica, type Prompt, type SelectionView
} from './index.js'

/** Number of answers after which the estimate must be accurate. */
const ANSWERS = 60
/** Allowed relative error of the predicted time to first token, for engines up to four times slower or faster than the prior. */
const ALLOWED_ERROR = 0.3
const PRIOR_TIME_PER_TOKEN = 1 / 40

interface TrueEngine {
  timePerToken: number
  firstDelay: number
}

/** Adds answers to prompts of all sizes, with random variation; a share of them takes three times as long. */
function addAnswers (speed: EngineSpeed, { timePerToken, firstDelay }: TrueEngine, lateShare: number, seed: number): void {
  const random = new SeededRandom(seed)
  for (let answer = 0; answer < ANSWERS; answer++) {
    const tokens = 20 + random.next() * 10_000
    const late = random.next() < lateShare ? 3 : 1
    speed.onFirstToken(tokens, (firstDelay + tokens * timePerToken) * (0.9 + 0.2 * random.next()) * late)
  }
}

test('should predict the time to first token of any engine after some answers', () => {
  const engine = fc.record({
    timePerToken: fc.double({ min: PRIOR_TIME_PER_TOKEN / 4, max: PRIOR_TIME_PER_TOKEN * 4, noNaN: true }),
    firstDelay: fc.double({ min: 0, max: 80, noNaN: true })
  })
  fc.assert(fc.property(engine, fc.nat(1_000), fc.integer({ min: 2_000, max: 12_000 }), (trueEngine, seed, tokens) => {
    const speed = new EngineSpeed()
    addAnswers(speed, trueEngine, 0, seed)
    const expected = trueEngine.firstDelay + tokens * trueEngine.timePerToken
    const error = Math.abs(speed.timeToFirstToken(tokens) - expected) / expected
    assert.ok(error <= ALLOWED_ERROR, `${speed.timeToFirstToken(tokens)} ms instead of ${expected}`)
  }), { seed: 41 })
})

test('should not estimate a slow engine from single late answers', () => {
  const speed = new EngineSpeed()
  addAnswers(speed, { timePerToken: 1 / 125, firstDelay: 62 }, 0.05, 3)
  assert.ok(speed.timePerToken < 1 / 80, `${1 / speed.timePerToken} tokens a millisecond`)
})

const engine: Engine = { slots: 64, cacheTokens: 170_000, bytesPerToken: 35_136, linkMegabitsPerSecond: 1_500_000, models: ['m'] }
const prompt: Prompt = {
  model: 'm', inputTokens: 12_000, maximumOutputTokens: 60, parts: [{ id: 'shared', tokens: 9_000 }, { id: 'own', tokens: 3_000 }]
}
const replicas = ['holder', 'idle'].map((id): Replica => ({
  id, service: 's', address: `10.0.0.1:${id}`, zone: 'z', slots: 64, isDraining: false, weightVersions: { m: 1 }, startedAt: 1
}))

// A queue that takes a slow engine 250 ms takes a fast one 80 ms; reading a frequently used part again elsewhere takes 72 ms.
const queues = [
  { title: 'choose the replica with the cached part if a fast engine soon reads its queue', timePerToken: 1 / 125, queued: 6_000, chosen: 'holder' },
  { title: 'choose another replica if the queue takes longer than reading the part again', timePerToken: 1 / 125, queued: 20_000, chosen: 'idle' },
  { title: 'choose another replica if reading the part again is faster than the queue of a slow engine', timePerToken: 1 / 12, queued: 20_000, chosen: 'idle' },
  { title: 'choose the slow engine with the cached part if its queue is short', timePerToken: 1 / 12, queued: 3_000, chosen: 'holder' }
]
for (const { title, timePerToken, queued, chosen } of queues) {
  test(`should ${title}`, () => {
    const speed = new EngineSpeed()
    addAnswers(speed, { timePerToken, firstDelay: 20 }, 0, 5)
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
    // The link is so slow that fetching from the holder is not an option.
    const slowLink = { ...engine, linkMegabitsPerSecond: 1 }
    view.cachedParts.onSent('holder', '/1', prompt.parts, engine.cacheTokens)
    view.loads.add('holder', { requests: 1, prefillTokens: queued, memoryTokens: queued })
    const demand = { prompt, engine: slowLink, saltFor: () => '/1', wantedVersion: undefined }
    assert.is(selectReplica({ candidates: replicas, tried: new Set(), demand }, view)?.replica.id, chosen)
  })
}

test.run()
