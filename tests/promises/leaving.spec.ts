import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LeavingPropagation, type LeavingEffect, type LeavingMessage } from '@wasabihead/coordination'
import { checkLeaving, LeavingProof, type PropagationFactory } from './leaving.js'

const RUNS = 6
/** Runs in which an instance kept sending work to a server long after its leaving was shown. */
const SEEDS_OF_WORK_AFTER_LEAVING = [5_000_020, 9_120_562, 20_261_211]
const EXPIRED_AFTER = 10_000

test('should find new work at a server long after its leaving was shown', () => {
  const shown = { kind: 'shown', at: 0, server: 'engine-0' } as const
  const work = { kind: 'work', server: 'engine-0', instance: 'entry-0' } as const
  assert.is(checkLeaving([shown, { ...work, at: 5_000 }]).length, 0)
  assert.is(checkLeaving([shown, { ...work, at: 5_001 }]).length, 1)
  assert.is(checkLeaving([shown, { kind: 'back', at: 1, server: 'engine-0' }, { ...work, at: 9_000 }]).length, 0)
})

/** Reads the list but sends no updates or requests to peers. */
class NonForwardingPropagation extends LeavingPropagation {
  override handle (message: LeavingMessage, now: number): LeavingEffect[] {
    return super.handle(message, now).filter(effect => effect.kind === 'read-list')
  }
}

/** Forwards updates, but requests no reports from peers. */
class NonRequestingPropagation extends LeavingPropagation {
  override handle (message: LeavingMessage, now: number): LeavingEffect[] {
    return super.handle(message, now).filter(effect => effect.kind !== 'ask')
  }
}

/** Ignores a received update after EXPIRED_AFTER, before the list that it came from is any newer. */
class EarlyExpiringPropagation extends LeavingPropagation {
  private readonly _receivedAt = new Map<string, number>()

  override handle (message: LeavingMessage, now: number): LeavingEffect[] {
    for (const server of message.kind === 'heard' ? message.servers : []) this._receivedAt.set(server, now)
    return super.handle(message, now)
  }

  override isLeaving (server: string, now: number): boolean {
    return super.isLeaving(server, now) && now - (this._receivedAt.get(server) ?? now) < EXPIRED_AFTER
  }
}

const seeds = Array.from({ length: RUNS }, (_, index) => index + 1)
const broken: Array<{ title: string, make: PropagationFactory, seeds: number[] }> = [
  { title: 'forwards nothing', make: random => new NonForwardingPropagation(random), seeds },
  { title: 'drops received updates too soon', make: random => new EarlyExpiringPropagation(random), seeds },
  { title: 'requests no reports', make: random => new NonRequestingPropagation(random), seeds: SEEDS_OF_WORK_AFTER_LEAVING }
]
for (const { title, make, seeds } of broken) {
  test(`should fail for a propagation that ${title}`, () => {
    const runs = seeds.map(seed => new LeavingProof(make).run(seed))
    assert.ok(runs.some(run => run.violations.length > 0))
  })
}

test('should hold over seeded runs that lost messages and killed instances', () => {
  const runs = Array.from({ length: RUNS }, (_, index) => new LeavingProof().run(index + 1))
  assert.equal(runs.flatMap(run => run.violations), [])
  for (const count of ['leaving', 'asked', 'lost', 'killed', 'work']) assert.ok(runs.every(run => (run.counts[count] ?? 0) > 0), count)
})

for (const seed of SEEDS_OF_WORK_AFTER_LEAVING) {
  test(`should give no new work to a server long after its leaving was shown with seed ${seed}`, () => {
    assert.equal(new LeavingProof().run(seed).violations, [])
  })
}

test.run()
