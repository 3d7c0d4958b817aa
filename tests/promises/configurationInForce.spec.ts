import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  checkConfigurationHistory, ConfigurationInForceProof, type ConfigurationBreakage, type ConfigurationEvent
} from './configurationInForce.js'

const RUNS = 15
/** Runs in which an isolated instance accepted work for longer than the limit. */
const SEEDS_OF_ISOLATED_WORK = [771_013, 900_073, 900_158, 900_208, 900_330, 900_471, 900_555]
const RUNS_OF_BROKEN_VARIANT = 60
const END = 60_000

const connected: ConfigurationEvent = { kind: 'connected', at: 0, instance: 'a#1' }
const accepted: ConfigurationEvent = { kind: 'reported', at: 1_000, outcome: 'accepted', revision: 1, changeToken: 'x' }
const inForce = (at: number, revision: number, changeToken: string): ConfigurationEvent =>
  ({ kind: 'in-force', at, instance: 'a#1', revision, changeToken })

const histories: Array<{ title: string, events: ConfigurationEvent[], problem: RegExp | undefined }> = [
  { title: 'accept a configuration in force within the limit', events: [connected, accepted, inForce(17_000, 1, 'x')], problem: undefined },
  { title: 'find one in force too late', events: [connected, accepted, inForce(17_001, 1, 'x')], problem: /lacks the revision/ },
  { title: 'find one never in force', events: [connected, accepted], problem: /lacks the revision/ },
  {
    title: 'require nothing of an instance while it is disturbed',
    events: [connected, accepted, { kind: 'disturbed', at: 5_000, instance: 'a#1' }],
    problem: undefined
  },
  {
    title: 'restart the limit once an instance is connected again',
    events: [
      connected, accepted, { kind: 'disturbed', at: 5_000, instance: 'a#1' }, { kind: 'connected', at: 9_000, instance: 'a#1' }
    ],
    problem: /at 25000/
  },
  { title: 'find a revert', events: [inForce(0, 2, 'y'), inForce(1, 1, 'x')], problem: /not higher/ },
  {
    title: 'find two changes under one revision',
    events: [inForce(0, 1, 'x'), { kind: 'in-force', at: 1, instance: 'b#1', revision: 1, changeToken: 'y' }],
    problem: /one revision is two changes/
  },
  {
    title: 'find a refused change in force',
    events: [{ ...accepted, outcome: 'refused' }, inForce(20_000, 1, 'x')],
    problem: /refused change/
  },
  { title: 'find two accepted changes of one revision', events: [accepted, { ...accepted, changeToken: 'y' }], problem: /two changes/ },
  {
    title: 'find an isolated instance that accepts work for too long',
    events: [{ kind: 'isolated-work', at: 20_000, instance: 'a#1', since: 0 }],
    problem: /hears nobody/
  }
]
for (const { title, events, problem } of histories) {
  test(`should ${title}`, () => {
    const [violation] = checkConfigurationHistory(events, END)
    if (problem === undefined) assert.is(violation, undefined)
    else assert.match(violation?.problem ?? '', problem)
  })
}

const seeds = Array.from({ length: RUNS_OF_BROKEN_VARIANT }, (_, index) => index + 1)
const breakages: Array<{ title: string, breakage: ConfigurationBreakage, problem: RegExp, seeds: number[] }> = [
  { title: 'writes without an answer are reported as refused', breakage: { refusesUnansweredWrites: true }, problem: /refused change/, seeds },
  { title: 'peers do not announce their revisions', breakage: { hidesRevisions: true }, problem: /lacks the revision/, seeds },
  {
    title: 'answers are dated by their arrival',
    breakage: { datesByArrival: true },
    problem: /hears nobody/,
    seeds: SEEDS_OF_ISOLATED_WORK
  }
]
for (const { title, breakage, problem, seeds } of breakages) {
  test(`should notice when ${title}`, () => {
    const proof = new ConfigurationInForceProof(breakage)
    for (const seed of seeds) {
      const [violation] = proof.run(seed).violations
      if (violation !== undefined) return assert.match(violation.problem, problem)
    }
    assert.unreachable('no run was found broken')
  })
}

test('should hold in seeded runs', () => {
  const proof = new ConfigurationInForceProof()
  for (let seed = 1; seed <= RUNS; seed++) assert.equal(proof.run(seed).violations, [], `seed ${seed}`)
})

for (const seed of SEEDS_OF_ISOLATED_WORK) {
  test(`should stop the work of an isolated instance in time with seed ${seed}`, () => {
    assert.equal(new ConfigurationInForceProof().run(seed).violations, [])
  })
}

test.run()
