import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CatalogCurrency } from './index.js'

const SETTINGS = { longestAge: 1_600, reportTimeout: 1_500 }
const PEERS = ['b', 'c', 'd']
const NOW = 10_000

const cases: { title: string, age: number, reports: [peer: string, isAhead: boolean, age: number][], isCurrent: boolean }[] = [
  { title: 'was confirmed lately', age: 1_600, reports: [], isCurrent: true },
  { title: 'was not confirmed, where no peer is heard', age: 1_601, reports: [], isCurrent: false },
  { title: 'nobody can confirm, where half of all instances agree', age: 9_000, reports: [['b', false, 200]], isCurrent: true },
  { title: 'was not confirmed, where a peer is ahead', age: 9_000, reports: [['b', false, 200], ['c', true, 200]], isCurrent: false },
  { title: 'was not confirmed, after a pause since the reports', age: 3_000, reports: [['b', false, 2_900], ['c', false, 2_900]], isCurrent: false },
  { title: 'was not confirmed, where only peers that are gone agree', age: 9_000, reports: [['x', false, 200], ['y', false, 200]], isCurrent: false }
]
for (const { title, age, reports, isCurrent } of cases) {
  test(`should ${isCurrent ? '' : 'not '}rely on a copy that ${title}`, () => {
    const currency = new CatalogCurrency(SETTINGS)
    for (const [peer, isAhead, reportAge] of reports) currency.onReport(peer, isAhead, NOW - reportAge)
    assert.is(currency.isCurrent(NOW - age, PEERS, NOW), isCurrent)
  })
}

// Guards against streams that nobody takes up while the store is away, since most peers are heard through others only.
type Reports = [peer: string, isAhead: boolean, age: number][]
const passedOn: { title: string, reports: Reports, arePassedOn: boolean, isCurrent: boolean }[] = [
  { title: 'agrees with what was passed on', reports: [['b', false, 3_900]], arePassedOn: true, isCurrent: true },
  { title: 'agrees with what was passed on too long ago', reports: [['b', false, 4_001]], arePassedOn: true, isCurrent: false },
  { title: 'agrees with as old reports where none are passed on', reports: [['b', false, 3_900]], arePassedOn: false, isCurrent: false },
  { title: 'may lack what a peer has', reports: [['b', false, 200], ['c', true, 3_900]], arePassedOn: true, isCurrent: false },
  { title: 'agrees with the peer itself, after older word of it', reports: [['b', false, 200], ['b', true, 900]], arePassedOn: true, isCurrent: true }
]
for (const { title, reports, arePassedOn, isCurrent } of passedOn) {
  test(`should ${isCurrent ? '' : 'not '}rely on a copy that ${title}`, () => {
    const currency = new CatalogCurrency({ ...SETTINGS, passedOnTimeout: 4_000 })
    for (const [peer, isAhead, age] of reports) currency.onReport(peer, isAhead, NOW - age)
    assert.is(currency.isCurrent(0, PEERS, NOW, arePassedOn), isCurrent)
  })
}

test('should rely on no peers where there are none', () => {
  assert.not(new CatalogCurrency(SETTINGS).isCurrent(0, [], NOW))
})

test('should ask for a later confirmation where a peer did not answer', () => {
  const currency = new CatalogCurrency(SETTINGS)
  assert.equal([800, 801].map(age => currency.isRecent(NOW - age, NOW)), [true, false])
})

test('should call a copy outdated once it was not confirmed for the longest age', () => {
  const currency = new CatalogCurrency(SETTINGS)
  assert.equal([1_600, 1_601].map(age => currency.isOutdated(NOW - age, NOW)), [false, true])
})

test.run()
