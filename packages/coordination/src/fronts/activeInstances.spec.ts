import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  ActiveInstances, capacityOf, concernsAll, FrontDirectory, heartbeatSchema, isLeaseOutdated, namedAddresses, namedInstances,
  rankInstances, registrationLease, type FrontRecord, type Heartbeat
} from './index.js'

const DIRECTORY = { heartbeatInterval: 250, minimumSilenceTimeout: 1_300, unconfirmedLifetime: 3_000, forgetAfter: 30_000 }

const instance = (name: string, capacity?: number) => ({ name, zone: 'z', ...(capacity === undefined ? {} : { capacity }) })
const heartbeat: Heartbeat = heartbeatSchema.parse({
  from: { name: 'a', incarnation: 1, isLeaving: false }, isReady: true, named: [], loads: {}, sent: [], stores: [], fetched: [], loading: [], loaded: []
})

const sizes = [
  { title: 'processor and link', machine: { cores: 1.35, linkMegabitsPerSecond: 140 }, capacity: 135 },
  { title: 'a slow link', machine: { cores: 0.227, linkMegabitsPerSecond: 7 }, capacity: 7 },
  { title: 'the processor alone', machine: { cores: 0.5 }, capacity: 50 },
  { title: 'nothing', machine: {}, capacity: 0 },
  { title: 'figures that are none', machine: { cores: NaN, linkMegabitsPerSecond: -1 }, capacity: 0 }
]
for (const { title, machine, capacity } of sizes) {
  test(`should state the capacity by ${title}`, () => { assert.is(capacityOf(machine), capacity) })
}

// Guards against instances that take different ones for active, since each knows the fleet in another order.
test('should rank by capacity, older builds last, in the same order for all', () => {
  const members = [instance('old'), instance('small-1', 7), instance('large', 135), instance('small-2', 7), instance('unknown', 0)]
  const ranked = rankInstances(members).map(({ name }) => name)
  assert.equal(rankInstances([...members].reverse()).map(({ name }) => name), ranked)
  assert.is(ranked[0], 'large')
  assert.equal(ranked.slice(3), ['unknown', 'old'])
})

// Callers choose one address at random: a small machine that is always named gets as much work as one of twenty times its size.
const named = [
  { title: 'all of the same size', capacities: [7, 7, 7, 7], turns: [[0, 1, 2, 3], [0, 1, 2, 3]] },
  { title: 'only the large ones if there are enough', capacities: [135, 135, 100, 7], turns: [[0, 1, 2], [0, 1, 2]] },
  { title: 'two large ones alone', capacities: [135, 135, 7, 7], turns: [[0, 1], [0, 1]] },
  { title: 'small ones in turn beside a single large one', capacities: [135, 7, 7, 7, 7], turns: [[0, 1, 2], [0, 3, 4]] },
  { title: 'fewer than three where no more are active', capacities: [135, 7], turns: [[0, 1], [0, 1]] },
  { title: 'none of none', capacities: [], turns: [[]] }
]
for (const { title, capacities, turns } of named) {
  test(`should name ${title}`, () => {
    const ranked = capacities.map((capacity, index) => instance(`${index}`, capacity))
    assert.equal(turns.map((_, turn) => namedInstances(ranked, turn).map(({ name }) => Number(name))), turns)
  })
}

const zoneOf = (zone: string, capacities: number[]) => capacities.map((capacity, index) => ({
  ...instance(`${zone}-${index}`, capacity), zone, frontAddress: `${zone}-${index}`
} as unknown as FrontRecord))
// Guards against small machines that get as much work as large ones: one of 0.23 of a core was used up to 0.21 of it.
const answers = [
  { title: 'the large ones of the data centre', near: [135, 135, 7, 7], far: [135, 135, 7, 7], expected: ['near-0', 'near-1'] },
  { title: 'large ones elsewhere rather than small ones', near: [135, 7, 7, 7], far: [135, 135, 7], expected: ['near-0', 'far-0', 'far-1'] },
  { title: 'large ones elsewhere where all are small', near: [7, 7, 7, 7], far: [135, 135, 135], expected: ['far-0', 'far-1', 'far-2'] },
  { title: 'small ones besides where too few are large', near: [135, 7], far: [7], expected: ['near-0', 'near-1', 'far-0'] },
  { title: 'small ones of the data centre where none elsewhere is large', near: [135, 7, 7, 7], far: [7, 7], expected: ['near-0', 'near-1', 'near-2'] },
  { title: 'all of the same size', near: [7, 7, 7, 7], far: [7, 7, 7, 7], expected: ['near-0', 'near-1', 'near-2', 'near-3'] }
]
for (const { title, near, far, expected } of answers) {
  test(`should answer with ${title}`, () => {
    assert.equal(namedAddresses([zoneOf('far', far), zoneOf('near', near)], 'near', 0), expected)
  })
}

/** Sizes after each report of the utilization of the first of eight instances and of the three next, every second. */
function sizesAfter (utilizations: readonly (readonly [number, number])[]): number[] {
  const members = rankInstances(Array.from({ length: 8 }, (_, index) => instance(`i-${index}`, 7)))
  const active = new ActiveInstances(members[0]?.name ?? '')
  return utilizations.map(([own, others], second) => {
    const now = second * 1_000
    for (const { name } of members.slice(1)) active.receive(name, { size: 4, utilization: others }, true, now)
    active.adapt(members, own, now)
    return active.report.size
  })
}

const resizings = [
  { title: 'stay as it is at a moderate load', loads: Array<[number, number]>(30).fill([0.4, 0.4]), last: 4 },
  { title: 'grow if the first instance is busy', loads: Array<[number, number]>(3).fill([0.7, 0.1]), last: 6 },
  { title: 'grow if another one is busy', loads: Array<[number, number]>(3).fill([0.1, 0.9]), last: 6 },
  { title: 'not grow beyond the data centre', loads: Array<[number, number]>(20).fill([0.9, 0.9]), last: 8 },
  { title: 'shrink slowly', loads: [...Array<[number, number]>(5).fill([0.9, 0.9]), ...Array<[number, number]>(40).fill([0.1, 0.1])], last: 6 },
  { title: 'keep the minimum', loads: Array<[number, number]>(90).fill([0, 0]), last: 4 }
]
for (const { title, loads, last } of resizings) {
  test(`should let the active set ${title}`, () => { assert.is(sizesAfter(loads).at(-1), last) })
}

// Guards against a set that falls back to the minimum under load when the instance that decides on its number is lost.
test('should take over the number of active instances from the first one, and keep it after its loss', () => {
  const [first, second, ...rest] = rankInstances(Array.from({ length: 9 }, (_, index) => instance(`i-${index}`, 7)))
  const active = new ActiveInstances(second?.name ?? '')
  active.receive(first?.name ?? '', { size: 7, utilization: 0.5 }, true, 0)
  active.adapt([first, second, ...rest].filter(each => each !== undefined), 0.5, 0)
  assert.is(active.report.size, 7)
  active.adapt([second, ...rest].filter(each => each !== undefined), 0.5, 3_000)
  assert.is(active.report.size, 7)
})

const concerns: { title: string, change: Partial<Heartbeat>, expected: boolean }[] = [
  { title: 'loads', change: { loads: { r: [1, 2, 3] } }, expected: false },
  { title: 'the state of the copy of the store', change: { catalog: { changedAt: 1, age: 2 } }, expected: false },
  { title: 'changes of the store', change: { catalog: { changedAt: 1, age: 2, told: { after: 0, changes: [['k', 1, 'v']] } } }, expected: true },
  { title: 'leaving', change: { from: { name: 'a', incarnation: 1, isLeaving: true } }, expected: true },
  { title: 'a rate limit', change: { limits: [['r/1', 2, 3, 4]] }, expected: true },
  { title: 'a cold replica', change: { cold: [['r', 1, 2, 3, 4]] }, expected: true },
  { title: 'the pace of a replica', change: { paces: [['r', 1, 2, 3, 4, true]] }, expected: false },
  { title: 'a replica that leaves', change: { leaving: ['r/1'] }, expected: true },
  { title: 'cut links', change: { cutOff: ['s'] }, expected: true },
  { title: 'orders to load weights', change: { loading: ['r'] }, expected: true },
  { title: 'the events of a cache store', change: { stores: [{ address: 's', epoch: 1, age: 2, events: [] }] }, expected: true }
]
for (const { title, change, expected } of concerns) {
  test(`should ${expected ? '' : 'not '}send ${title} to all data centres`, () => {
    assert.is(concernsAll({ ...heartbeat, ...change }), expected)
  })
}

const record = (index: number, change: Partial<FrontRecord> = {}): FrontRecord => ({
  name: `i-${index}`,
  incarnation: 1,
  zone: `z-${index % 2}`,
  region: 'r',
  frontAddress: `a-${index}`,
  controlAddress: '',
  heartbeatAddress: '',
  isLeaving: false,
  capacity: 7,
  ...change
})
function directoryOf (records: readonly FrontRecord[], [self]: readonly FrontRecord[] = records): FrontDirectory {
  const fronts = new FrontDirectory(self as FrontRecord, DIRECTORY)
  fronts.applyHosts(records.map(({ name }) => name))
  for (const each of records) if (each !== self) fronts.receive({ ...heartbeat, from: each, named: [each] }, 0)
  return fronts
}

test('should name active instances of the caller\'s data centre, and others only where fewer than three are alive there', () => {
  const fronts = directoryOf(Array.from({ length: 65 }, (_, index) => record(index)))
  const zones = (addresses: string[]): number[] => [...new Set(addresses.map(address => Number(address.slice(2)) % 2))]
  assert.is(fronts.addresses(true, 100, 'z-1').length, 4)
  assert.equal(zones(fronts.addresses(true, 100, 'z-1')), [1])
  assert.equal(zones(fronts.addresses(true, 100)), [0], 'that of the directory where the caller names none')
  assert.is(fronts.addresses(true, 100, 'elsewhere').length, 8)
  const few = directoryOf([record(0), record(2), ...Array.from({ length: 63 }, (_, index) => record(2 * index + 1))])
  assert.equal(few.addresses(true, 100, 'z-0').slice(0, 2).sort(), ['a-0', 'a-2'])
  assert.equal(zones(few.addresses(true, 100, 'z-0').slice(2)), [1])
})

test('should name all instances and state no capacity in a fleet of 64', () => {
  const fronts = directoryOf(Array.from({ length: 64 }, (_, index) => record(index)))
  assert.is(fronts.addresses(true, 100, 'z-1').length, 64)
  assert.is(fronts.self.capacity, undefined)
  assert.is(fronts.activeReport, undefined)
})

// An instance that others report counts as alive for 4 s after its own heartbeat, however often the report is passed on.
test('should add up the ages of what is passed on, and believe it for 4 s', () => {
  const fronts = directoryOf(Array.from({ length: 65 }, (_, index) => record(index)))
  const live = (now: number): boolean => fronts.isHeard('i-1', now)
  assert.not(live(2_601))
  fronts.receiveHeard([['i-1', 1, 1_000, 7]], 3_000)
  assert.equal([live(5_850), live(5_851)], [true, false])
  const [entry] = fronts.heardElsewhere(5_000).filter(([name]) => name === 'i-1')
  assert.equal(entry, ['i-1', 1, 3_150, 7])
  fronts.receiveHeard([['i-1', 2, 0, 7]], 6_000)
  assert.not(live(6_000), 'word of another run')
  fronts.receive({ ...heartbeat, from: record(1), isReady: false, named: [] }, 6_000)
  fronts.receiveHeard([['i-1', 1, 500, 7]], 6_100)
  assert.not(fronts.livePeers(6_100).some(({ name }) => name === 'i-1'), 'older word than its own that it is not ready')
})

// Registrations of instances that ended remain in the store for some time in a large fleet.
test('should not name an instance that the store lists and nobody has heard', () => {
  const fronts = directoryOf(Array.from({ length: 65 }, (_, index) => record(index)))
  fronts.applyRecords([record(99, { capacity: 135 })], 100)
  assert.not(fronts.addresses(true, 200, 'z-1').includes('a-99'))
})

const usual = { timeToLive: 4_500, renewEvery: 1_500 }
const leases = [
  { instances: undefined, timeToLive: 4_500, renewEvery: 1_500 },
  { instances: 64, timeToLive: 4_500, renewEvery: 1_500 },
  { instances: 128, timeToLive: 38_400, renewEvery: 12_800 },
  { instances: 340, timeToLive: 102_000, renewEvery: 34_000 },
  { instances: 10_000, timeToLive: 600_000, renewEvery: 200_000 }
]
for (const { instances, ...expected } of leases) {
  test(`should renew the registrations of ${instances ?? 'unknown'} instances at a bounded rate`, () => {
    assert.equal(registrationLease(usual, instances), expected)
  })
}

// Guards against registering again with each instance that comes or goes.
test('should keep a lease that is near the wanted one, and replace that of the start', () => {
  const held = registrationLease(usual, 128)
  const isOutdated = [100, 128, 200, 340].map(instances => isLeaseOutdated(held, registrationLease(usual, instances)))
  assert.equal(isOutdated, [false, false, false, true])
  assert.ok(isLeaseOutdated(usual, held))
})

test.run()
