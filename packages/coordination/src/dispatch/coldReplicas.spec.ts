import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Replica } from '../catalog/index.js'
import { ColdReplicas } from './index.js'

const INSTANCES = ['self']
const REPLICA: Replica = {
  id: 'r', service: 's', address: '10.0.0.1:1', zone: 'z', slots: 8, isDraining: false, weightVersions: {}, startedAt: 1
}
const LATER_RUN: Replica = { ...REPLICA, startedAt: 2 }

function coldReplicas (): ColdReplicas {
  const cold = new ColdReplicas('self')
  cold.configure([{ name: 's', coldFor: 3_000, coldRate: 8 }])
  return cold
}

interface Case {
  title: string
  play: (cold: ColdReplicas) => unknown
  /** Milliseconds; undefined if the replica is not cold at 10,000. */
  coldUntil: number | undefined
}

const cases: Case[] = [
  { title: 'nothing for a replica of the first listing', play: cold => cold.onListing([REPLICA], INSTANCES, 10_000), coldUntil: undefined },
  {
    title: 'what a replica of the first listing states',
    play: cold => cold.onListing([{ ...REPLICA, coldLeft: 900 }], INSTANCES, 10_000),
    coldUntil: 10_900
  },
  {
    title: 'no run under another id',
    play: cold => [cold.onListing([REPLICA], INSTANCES, 0), cold.onListing([{ ...REPLICA, id: 'q' }, REPLICA], INSTANCES, 9_900)],
    coldUntil: undefined
  },
  {
    title: 'a new run under the same id',
    play: cold => [cold.onListing([REPLICA], INSTANCES, 0), cold.onListing([LATER_RUN], INSTANCES, 9_900)],
    coldUntil: 12_900
  },
  {
    title: 'the statement of a new run rather than an estimate',
    play: cold => [cold.onListing([REPLICA], INSTANCES, 0), cold.onListing([{ ...LATER_RUN, coldLeft: 0 }], INSTANCES, 9_900)],
    coldUntil: undefined
  },
  {
    title: 'a replica that may have restarted under its id',
    play: cold => [cold.onListing([REPLICA], INSTANCES, 0), cold.suspect('r', 'restart-suspected', 9_000)],
    coldUntil: 12_000
  },
  {
    title: 'an answer that it is not cold',
    play: cold => [
      cold.onListing([REPLICA], INSTANCES, 0), cold.suspect('r', 'restart-suspected', 9_000), cold.onAnswer(REPLICA, 0, 9_100, 9_200)
    ],
    coldUntil: undefined
  },
  // Answers overtake each other: the replica may have sent this one before it turned cold.
  {
    title: 'no answer to a request that was sent before it may have restarted',
    play: cold => [
      cold.onListing([REPLICA], INSTANCES, 0), cold.suspect('r', 'restart-suspected', 9_000), cold.onAnswer(REPLICA, 0, 8_900, 9_200)
    ],
    coldUntil: 12_000
  },
  {
    title: 'no registration that may have been written before it turned cold',
    play: cold => [
      cold.onListing([{ ...REPLICA, coldLeft: 500 }], INSTANCES, 0),
      cold.onAnswer(REPLICA, 2_500, 9_000, 9_000),
      cold.onListing([{ ...REPLICA, coldLeft: 0 }], INSTANCES, 9_800)
    ],
    coldUntil: 11_500
  },
  {
    title: 'a statement that a peer passed on',
    play: cold => [
      cold.onListing([REPLICA], INSTANCES, 0),
      cold.receive({ replicaId: 'r', startedAt: 1, left: 2_000, heardAge: 300, sentAge: 400 }, 9_900)
    ],
    coldUntil: 11_600
  },
  {
    title: 'no statement of the run before that a peer passed on',
    play: cold => [
      cold.onListing([LATER_RUN], INSTANCES, 0),
      cold.receive({ replicaId: 'r', startedAt: 1, left: 2_000, heardAge: 300, sentAge: 400 }, 9_900)
    ],
    coldUntil: undefined
  }
]
for (const { title, play, coldUntil } of cases) {
  test(`should apply ${title}`, () => {
    const cold = coldReplicas()
    play(cold)
    assert.is(cold.rateOf(REPLICA, 10_000), coldUntil === undefined ? undefined : 8)
    if (coldUntil === undefined) return
    assert.is(cold.rateOf(REPLICA, coldUntil - 1), 8)
    assert.is(cold.rateOf(REPLICA, coldUntil), undefined)
  })
}

// The replica counts the requests of the last second, also those that were sent before this instance knew that it is cold.
test('should count a send of the time before the replica turned cold', () => {
  const cold = coldReplicas()
  cold.onListing([REPLICA], INSTANCES, 0)
  cold.onSent(REPLICA, 9_990)
  cold.suspect('r', 'restart-suspected', 10_000)
  assert.ok(cold.nextSendAt(REPLICA, INSTANCES, 10_000) >= 9_990 + 1_000 / 8)
})

test('should send nothing to a cold replica while the hosts are not known', () => {
  const cold = coldReplicas()
  cold.onListing([{ ...REPLICA, coldLeft: 900 }], undefined, 0)
  assert.is(cold.nextSendAt(REPLICA, undefined, 10), Infinity)
})

// A process that was frozen would send the reserved request and the next one within the same second.
test('should not make a reserved send that is late', () => {
  const cold = coldReplicas()
  cold.onListing([{ ...REPLICA, coldLeft: 2_000 }], INSTANCES, 0)
  cold.onSent(REPLICA, 500)
  assert.is(cold.isReservationValid(REPLICA, 500, INSTANCES, 510), true)
  assert.is(cold.isReservationValid(REPLICA, 500, INSTANCES, 1_500), false)
})

test('should never treat replicas of a service without a cold rate as cold', () => {
  const cold = new ColdReplicas('self')
  cold.configure([{ name: 's' }])
  cold.onListing([REPLICA], INSTANCES, 0)
  cold.onListing([{ ...LATER_RUN, coldLeft: 900 }], INSTANCES, 10)
  assert.is(cold.suspect('r', 'restart-suspected', 20), undefined)
  assert.ok(cold.areAllWarm(20))
  assert.is(cold.nextSendAt(REPLICA, INSTANCES, 20), -Infinity)
})

test.run()
