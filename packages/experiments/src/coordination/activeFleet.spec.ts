/** Replays failures of a fleet with active instances, and checks what each instance knows and whom the directory names. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Milliseconds } from '@wasabihead/coordination'
import { ActiveFleetReplay, type ActiveFleetOptions, type ReplayedInstance } from './activeFleetReplay.js'

const ZONE = 'zone-1'
const SAMPLING: Milliseconds = 250

const fleetOf = (change: Partial<ActiveFleetOptions> = {}): ActiveFleetReplay => {
  const fleet = new ActiveFleetReplay({ instances: 72, seed: 1, requestsPerSecond: 40, ...change })
  fleet.run(8_000)
  return fleet
}
const isActive = (fleet: ActiveFleetReplay, { fronts, name }: ReplayedInstance): boolean => fronts.isActive(name, fleet.now)
const inZone = (instances: readonly ReplayedInstance[]): ReplayedInstance[] => (
  instances.filter(({ fronts }) => fronts.self.zone === ZONE))

/** Pairs of running instances of which one does not take the other for alive, and of which one takes an ended one for alive. */
function wrongViews (fleet: ActiveFleetReplay, isSeen: (from: string, to: string) => boolean = () => true): [number, number] {
  const running = new Map(fleet.running.map(instance => [instance.name, instance]))
  let [missing, ended] = [0, 0]
  for (const { fronts, name } of running.values()) {
    const live = new Set(fronts.livePeers(fleet.now).map(peer => peer.name))
    for (const other of running.values()) {
      if (other.name !== name && isSeen(fronts.self.zone, other.fronts.self.zone) && !live.has(other.name)) missing += 1
    }
    for (const peer of live) if (!running.has(peer)) ended += 1
  }
  return [missing, ended]
}

/** Addresses of ended instances that any directory names to callers of the data centre, and the fewest that one answer names. */
function answers (fleet: ActiveFleetReplay): { ended: number, fewest: number } {
  const running = new Set(fleet.running.map(({ fronts }) => fronts.self.frontAddress))
  const named = fleet.running.map(({ fronts }) => fronts.addresses(true, fleet.now, ZONE))
  return {
    ended: named.flat().filter(address => !running.has(address)).length,
    fewest: Math.min(...named.map(addresses => addresses.filter(address => running.has(address)).length))
  }
}

// Guards against instances that take live ones for dead, which the holders of stream origins and the readers of the store are
// ranked by: those of other data centres are known only by what active instances pass on.
const calm: { title: string, options: Partial<ActiveFleetOptions> }[] = [
  { title: 'without losses', options: {} },
  { title: 'with a twentieth of the messages between data centres lost', options: { lossShare: 0.05 } },
  { title: 'with a third of the instances of an older build', options: { olderBuilds: 24 } }
]
for (const { title, options } of calm) {
  test(`should know every live instance all the time ${title}`, () => {
    const fleet = fleetOf(options)
    for (let sample = 0; sample < 24; sample++) {
      assert.equal(wrongViews(fleet), [0, 0])
      fleet.run(SAMPLING)
    }
  })
}

const losses: { title: string, isLost: (fleet: ActiveFleetReplay) => (instance: ReplayedInstance) => boolean }[] = [
  { title: 'one active instance', isLost: fleet => instance => instance === inZone(fleet.instances).find(each => isActive(fleet, each)) },
  {
    title: 'all active instances of a data centre',
    isLost: fleet => instance => instance.fronts.self.zone === ZONE && isActive(fleet, instance)
  },
  { title: 'all active instances of all data centres', isLost: fleet => instance => isActive(fleet, instance) },
  { title: 'all instances of a data centre', isLost: () => instance => instance.fronts.self.zone === ZONE }
]
for (const { title, isLost } of losses) {
  // Guards against callers that are sent to ended instances, and against live ones that vanish with the active ones that
  // reported them.
  test(`should name live instances only and know all live ones after the loss of ${title}`, () => {
    const fleet = fleetOf()
    const lost = fleet.instances.filter(isLost(fleet))
    assert.ok(lost.length > 0)
    for (const instance of lost) instance.isRunning = false
    fleet.run(5_000)
    assert.equal(wrongViews(fleet), [0, 0])
    const { ended, fewest } = answers(fleet)
    assert.is(ended, 0)
    assert.ok(fewest >= 3, `an answer names ${fewest}`)
  })
}

// Guards against two data centres that stay unknown to each other after a cut, since neither knows who is active in the other.
test('should know the own side of a cut between data centres, and all instances soon after it', () => {
  const fleet = fleetOf()
  const isSeen = (from: string, to: string): boolean => from === to || (from !== ZONE && to !== ZONE)
  fleet.isCut = (from, to) => !isSeen(from, to)
  fleet.run(20_000)
  assert.equal(wrongViews(fleet, isSeen), [0, 0])
  assert.is(answers(fleet).ended, 0)
  fleet.isCut = () => false
  fleet.run(4_000)
  assert.equal(wrongViews(fleet), [0, 0])
})

// Guards against an instance that takes all others for dead after it stood still, or that vouches for those that ended meanwhile.
test('should take up an active instance again that stood still, and drop what ended meanwhile', () => {
  const fleet = fleetOf()
  const frozen = inZone(fleet.instances).find(instance => isActive(fleet, instance)) as ReplayedInstance
  const ended = inZone(fleet.instances).at(-1) as ReplayedInstance
  frozen.isRunning = false
  ended.isRunning = false
  fleet.run(6_000)
  frozen.isRunning = true
  frozen.fronts.onPaused(6_000, fleet.now)
  assert.is(frozen.fronts.livePeers(fleet.now).length, 71)
  fleet.run(5_000)
  assert.equal(wrongViews(fleet), [0, 0])
  assert.is(answers(fleet).ended, 0)
})

test('should know all instances and name active ones soon after the whole fleet has started at once', () => {
  const fleet = new ActiveFleetReplay({ instances: 72, seed: 2, requestsPerSecond: 40 })
  fleet.run(3_000)
  assert.equal(wrongViews(fleet), [0, 0])
  // The two large instances of the data centre.
  assert.equal(answers(fleet), { ended: 0, fewest: 2 })
})

// The requirement is a tenth of what a fleet sends between data centres in which each instance sends to all others.
test('should send at most a tenth of the bytes between data centres, and read the store less often', () => {
  const [before, after] = [128, 0].map(olderBuilds => {
    const fleet = fleetOf({ instances: 128, requestsPerSecond: 270, olderBuilds })
    fleet.reset()
    fleet.run(4_000)
    return fleet.counts
  }) as [ActiveFleetReplay['counts'], ActiveFleetReplay['counts']]
  assert.ok(after.bytesBetween <= before.bytesBetween / 10, `${after.bytesBetween} of ${before.bytesBetween}`)
  assert.ok(after.reads <= before.reads / 4, `${after.reads} of ${before.reads}`)
})

// Fleets up to the most addresses of an answer send what they sent before.
test('should send the same heartbeats as an older build in a fleet of 64', () => {
  const [older, current] = [64, 0].map(olderBuilds => {
    const fleet = fleetOf({ instances: 64, olderBuilds })
    return fleet.counts
  })
  assert.equal(current, older)
})

test.run()
