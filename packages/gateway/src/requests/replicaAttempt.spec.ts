import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FleetLoads, ReplicaHealth, type HealthSignal, type Replica, type Selection } from '@wasabihead/coordination'
import type { ReplicaChannel } from '../channels/index.js'
import type { GatewayState } from './gatewayState.js'
import { ReplicaAttempt } from './replicaAttempt.js'

const replica: Replica = {
  id: 'r', service: 's', address: '10.0.0.1:1', zone: 'z', slots: 8, isDraining: false, weightVersions: {}, startedAt: 1
}
const selection = { replica, freshTokens: 0, fetchLoads: new Map() } as unknown as Selection
const AFTER_EXCLUSION = 600

// A replica whose trial was left by its caller, or that wanted no requests just then, was left out for good.
const ends: { title: string, sign: HealthSignal | undefined, isExcluded: boolean }[] = [
  { title: 'let another request try a replica where the one that tried it says nothing of its health', sign: undefined, isExcluded: false },
  { title: 'use a replica again that answered the request that tried it', sign: 'answered', isExcluded: false },
  { title: 'leave a replica out that was unreachable again', sign: 'unreachable', isExcluded: true }
]
for (const { title, sign, isExcluded } of ends) {
  test(`should ${title}`, () => {
    const health = new ReplicaHealth()
    health.record(replica.id, 'unreachable', 0)
    const state = { health, loads: new FleetLoads(), now: () => AFTER_EXCLUSION, beliefNow: () => AFTER_EXCLUSION }
    const channel = { abandon: () => {} } as unknown as ReplicaChannel
    const attempt = new ReplicaAttempt(state as unknown as GatewayState, selection, channel, undefined, false)
    assert.is(health.isExcluded(replica.id, AFTER_EXCLUSION), true, 'one at a time')
    attempt.close(sign)
    assert.is(health.isExcluded(replica.id, AFTER_EXCLUSION + 1), isExcluded)
  })
}

test.run()
