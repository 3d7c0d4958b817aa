import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { checkRoleHistory, RoleLeaseProof, type HoldingEvent } from './roleLease.js'

const RUNS = 20
const RUNS_OF_BROKEN_VARIANT = 40

const hold = (at: number, holder: string, epoch: number): HoldingEvent => ({ at, holder, epoch })
const histories = [
  { title: 'accept one holder after another', events: [hold(0, 'a', 1), hold(1, 'b', 2)], problem: undefined },
  { title: 'find two holders at once', events: [hold(1, 'a', 1), hold(1, 'b', 2)], problem: /at once/ },
  { title: 'find two holders with one epoch', events: [hold(0, 'a', 1), hold(1, 'b', 1)], problem: /one epoch/ },
  { title: 'find an epoch that decreases', events: [hold(0, 'a', 2), hold(1, 'a', 1)], problem: /older epoch/ },
  { title: 'find a role that nobody takes', events: [hold(0, 'a', 1)], problem: /nobody/ }
]
for (const { title, events, problem } of histories) {
  test(`should ${title}`, () => {
    const [violation] = checkRoleHistory(events, 1)
    if (problem === undefined) assert.is(violation, undefined)
    else assert.match(violation?.problem ?? '', problem)
  })
}

const brokenVariants = [
  { title: 'a holder that counts its lease from too late a time', variant: { renewalDelay: 5_000 }, problem: /at once|older epoch/ },
  { title: 'holders that take the records of an older copy for the latest', variant: { isEraKnown: false }, problem: /at once|older epoch|one epoch/ }
]
for (const { title, variant, problem } of brokenVariants) {
  test(`should find ${title}`, () => {
    const proof = new RoleLeaseProof(variant)
    for (let seed = 1; seed <= RUNS_OF_BROKEN_VARIANT; seed++) {
      const [violation] = proof.run(seed).violations
      if (violation !== undefined) return assert.match(violation.problem, problem)
    }
    assert.unreachable('no run was found broken')
  })
}

test('should hold in seeded runs', () => {
  const proof = new RoleLeaseProof()
  for (let seed = 1; seed <= RUNS; seed++) assert.equal(proof.run(seed).violations, [], `seed ${seed}`)
})

test.run()
