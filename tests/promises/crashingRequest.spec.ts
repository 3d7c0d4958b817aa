import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { QuarantineEntry } from '@wasabihead/coordination'
import { ReplayedHost, type CrashEvent } from '@wasabihead/experiments'
import { checkCrashingRequest, CrashingRequestProof } from './crashingRequest.js'

const RUNS = 20
const fingerprint = 'crashing'
const trial = (host: string): CrashEvent => ({ kind: 'began', at: 1, host, fingerprint, isTrial: true })
const ended = (host: string): CrashEvent => ({ kind: 'ended', at: 2, host, fingerprint, isTrial: true, isCrash: true })

const brokenHistories: Array<{ title: string, history: CrashEvent[] }> = [
  {
    title: 'a free run of a known suspect',
    history: [
      { kind: 'knows', at: 0, host: 'a', fingerprint, state: 'suspect' },
      { kind: 'began', at: 1, host: 'a', fingerprint, isTrial: false }
    ]
  },
  {
    title: 'a trial of a quarantined request',
    history: [{ kind: 'knows', at: 0, host: 'a', fingerprint, state: 'quarantined' }, trial('a')]
  },
  {
    title: 'two trials at a time',
    history: [trial('a'), { kind: 'began', at: 1, host: 'b', fingerprint: 'other', isTrial: true }]
  },
  { title: 'more trials than kills allow', history: [trial('a'), ended('a'), trial('b'), ended('b')] },
  {
    title: 'a host that would run the request again',
    history: [{ kind: 'final', at: 9, host: 'a', fingerprint, isCrashing: true, state: 'unknown' }]
  }
]
for (const { title, history } of brokenHistories) {
  test(`should find ${title} in a broken history`, () => {
    assert.is(checkCrashingRequest(history).length, 1)
  })
}

/** Starts every trial without the agreement of its peers. */
class UncoordinatedKeeper extends ReplayedHost {
  protected override requestTrial (entry: QuarantineEntry, token: string): void {
    this.runTrial(entry, token)
  }
}

/** Drops everything that its peers send. */
class IsolatedKeeper extends ReplayedHost {
  override receive (): void {}
}

const brokenKeepers = [
  {
    title: 'take trials without agreement',
    makeKeeper: (...parts: ConstructorParameters<typeof ReplayedHost>) => new UncoordinatedKeeper(...parts)
  },
  {
    title: 'receive nothing from peers',
    makeKeeper: (...parts: ConstructorParameters<typeof ReplayedHost>) => new IsolatedKeeper(...parts)
  }
]
for (const { title, makeKeeper } of brokenKeepers) {
  test(`should fail for hosts that ${title}`, () => {
    const proof = new CrashingRequestProof(makeKeeper)
    assert.ok(Array.from({ length: RUNS }, (_, index) => proof.run(index + 1)).some(({ violations }) => violations.length > 0))
  })
}

test('should hold over seeded runs with the service up and down, kills and trials', () => {
  const runs = Array.from({ length: RUNS }, (_, index) => new CrashingRequestProof().run(index + 1))
  assert.equal(runs.flatMap(({ violations }) => violations), [])
  for (const count of ['lostWithServiceUp', 'lostWithServiceDown', 'kills', 'trials']) {
    assert.ok(runs.some(({ counts }) => (counts[count] ?? 0) > 0), count)
  }
})

test.run()
