import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  checkMembershipHistory, DETECTION_LIMIT, MembershipProof, REJOIN_LIMIT,
  type ObservedState, type MembershipBreakage, type MembershipEvent
} from './membership.js'

const RUNS = 10
/** Runs in which the only instance that another one knew was killed before it had passed on that other one's entry. */
const SEEDS_OF_ISLANDS = [31_400_614]
/** Runs in which an instance without an entry of a killed one considered it alive because of its unexpired registration. */
const SEEDS_OF_STALE_REGISTRATIONS = [42_700_030]
const RUNS_OF_BROKEN_VARIANT = 20

const start: MembershipEvent[] = [
  { kind: 'started', at: 0, host: 'a' }, { kind: 'started', at: 0, host: 'b' }, { kind: 'quiet', at: 0 },
  { kind: 'believed', at: 0, observer: 'b', host: 'a', belief: 'alive' }
]
const killed: MembershipEvent = { kind: 'killed', at: 0, host: 'b' }
const observe = (at: number, belief: ObservedState): MembershipEvent => ({ kind: 'believed', at, observer: 'a', host: 'b', belief })

const histories: Array<{ title: string, events: MembershipEvent[], problem: RegExp | undefined }> = [
  { title: 'accept a return at the limit', events: [observe(0, 'dead'), observe(REJOIN_LIMIT, 'alive')], problem: undefined },
  { title: 'find a live instance that stays dead', events: [observe(0, 'dead')], problem: /does not see b alive/ },
  { title: 'find a live instance that stays unknown', events: [], problem: /does not see b alive/ },
  {
    title: 'find a live instance that is seen dead again',
    events: [observe(0, 'alive'), observe(REJOIN_LIMIT + 1, 'dead'), observe(REJOIN_LIMIT + 2, 'alive')],
    problem: /does not see b alive/
  },
  {
    title: 'accept a death seen at the limit',
    events: [killed, observe(0, 'alive'), observe(DETECTION_LIMIT, 'dead')],
    problem: undefined
  },
  {
    title: 'find a death seen too late',
    events: [killed, observe(0, 'alive'), observe(DETECTION_LIMIT + 1, 'dead')],
    problem: /does not see b dead/
  },
  {
    title: 'find a killed instance that comes back by itself',
    events: [killed, observe(0, 'dead'), observe(DETECTION_LIMIT + 1, 'alive')],
    problem: /does not see b dead/
  }
]
for (const { title, events, problem } of histories) {
  test(`should ${title}`, () => {
    const [violation] = checkMembershipHistory([...start, ...events])
    if (problem === undefined) assert.is(violation, undefined)
    else assert.match(violation?.problem ?? '', problem)
  })
}

const seeds = Array.from({ length: RUNS_OF_BROKEN_VARIANT }, (_, index) => index + 1)
const breakages: Array<{ breakage: MembershipBreakage, problem: RegExp, seeds: number[] }> = [
  { breakage: 'ignores-failed-probes', problem: /dead/, seeds },
  { breakage: 'never-refutes', problem: /alive/, seeds },
  { breakage: 'forgets-the-dead', problem: /alive/, seeds },
  { breakage: 'reads-no-registrations', problem: /alive/, seeds: SEEDS_OF_ISLANDS }
]
for (const { breakage, problem, seeds } of breakages) {
  test(`should notice a fleet that ${breakage.replaceAll('-', ' ')}`, () => {
    const proof = new MembershipProof(breakage)
    for (const seed of seeds) {
      const [violation] = proof.run(seed).violations
      if (violation !== undefined) return assert.match(violation.problem, problem)
    }
    assert.unreachable('no run was found broken')
  })
}

test('should hold in seeded runs', () => {
  const proof = new MembershipProof()
  for (let seed = 1; seed <= RUNS; seed++) assert.equal(proof.run(seed).violations, [], `seed ${seed}`)
})

for (const seed of SEEDS_OF_ISLANDS) {
  test(`should bring back an instance that knows nobody alive with seed ${seed}`, () => {
    assert.equal(new MembershipProof().run(seed).violations, [])
  })
}

for (const seed of SEEDS_OF_STALE_REGISTRATIONS) {
  test(`should not believe the registration of a killed instance with seed ${seed}`, () => {
    assert.equal(new MembershipProof().run(seed).violations, [])
  })
}

test.run()
