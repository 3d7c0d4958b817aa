/** Tests which replicas a request may still be sent to. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  ColdReplicas, EngineSpeeds, FleetLoads, LoadingReplicas, ReplicaHealth, ReplicaLimits, ReplicaNotices, SeededRandom,
  ServiceLinks, SharedServerPace, type Replica
} from '@wasabihead/coordination'
import type { CallerRequest } from './callerRequest.js'
import type { GatewayState } from './gatewayState.js'
import { RequestPlacement } from './requestPlacement.js'

const replica = (id: string): Replica => ({
  id, service: 's', address: '10.0.0.1:1', zone: `zone of ${id}`, slots: 8, isDraining: false, weightVersions: {}, startedAt: 1
})
const replicas = ['a', 'b'].map(replica)
const request = { route: { targets: [{ service: 's', weight: 1 }] }, head: {} } as unknown as CallerRequest

interface Case {
  title: string
  loading: string[]
  leaving: string[]
  limited?: string[]
  cold?: string[]
  evacuated?: string[]
  tried: string[]
  expected: boolean
}

const cases: Case[] = [
  { title: 'another replica accepts requests', loading: [], leaving: [], tried: ['a'], expected: true },
  { title: 'all were tried', loading: [], leaving: [], tried: ['a', 'b'], expected: false },
  // If such a replica counted as available, a failed attempt would end with the gateway's own 502 instead of the replica's
  // answer.
  { title: 'the only other one is loading, and refuses requests', loading: ['b'], leaving: [], tried: ['a'], expected: false },
  { title: 'all are loading', loading: ['a', 'b'], leaving: [], tried: ['a'], expected: true },
  { title: 'the only other one is leaving', loading: [], leaving: ['b'], tried: ['a'], expected: false },
  // A cold replica crashes above its rate, of which this instance has sent its share.
  { title: 'the only other one is cold', loading: [], leaving: [], cold: ['b'], tried: ['a'], expected: false },
  { title: 'the data centre of the other is evacuated', loading: [], leaving: [], evacuated: ['zone of b'], tried: ['a'], expected: false },
  { title: 'the only other one is at its rate limit', loading: [], leaving: [], limited: ['b'], tried: ['a'], expected: false }
]
for (const { title, loading, leaving, limited = [], cold = [], evacuated = [], tried, expected } of cases) {
  test(`should tell whether another replica can be tried where ${title}`, () => {
    const state = {
      catalog: { usableReplicas: () => replicas, isEvacuated: (zone: string) => evacuated.includes(zone) },
      notices: new ReplicaNotices(),
      links: new ServiceLinks(),
      replicaLimits: new ReplicaLimits('self'),
      coldReplicas: new ColdReplicas('self'),
      fronts: { knownNames: ['self'] },
      loadingReplicas: new LoadingReplicas(),
      random: new SeededRandom(1),
      now: () => 0,
      suspensionAwareNow: () => 0,
      oldWeights: { avoidAfter: 500, excludeAfter: 6_000 }
    }
    state.loadingReplicas.record('other', loading, [], 0)
    for (const id of leaving) state.notices.onLeaving(replica(id), 0)
    for (const id of limited) state.replicaLimits.onAnswer(replica(id), 1, 0, 0)
    state.coldReplicas.configure([{ name: 's', coldFor: 3_000, coldRate: 8 }])
    state.coldReplicas.onListing(replicas, ['self'], 0)
    for (const id of cold) state.coldReplicas.suspect(id, 'restart-suspected', 0)
    const placement = new RequestPlacement(state as unknown as GatewayState, request)
    assert.is(placement.hasUntriedReplica(new Set(tried)), expected)
  })
}

const paces: {
  title: string, paced: string[], limited?: string[], excluded?: string[], tried?: string[], expected: string | undefined
}[] = [
  { title: 'the one without a pace', paced: ['a'], expected: 'b' },
  { title: 'the one with less load where both are at their pace', paced: ['a', 'b'], expected: 'a' },
  { title: 'the one at its pace where the other one was tried', paced: ['a'], tried: ['b'], expected: 'a' },
  { title: 'the one at its pace where the other one is at its stated rate', paced: ['a'], limited: ['b'], expected: 'a' },
  { title: 'the one at its pace where the other one is unreachable', paced: ['a'], excluded: ['b'], expected: 'a' },
  // What the replica states goes before what is found.
  { title: 'none whose stated rate is used up', paced: ['a', 'b'], limited: ['a', 'b'], expected: undefined }
]
for (const { title, paced, limited = [], excluded = [], tried = [], expected } of paces) {
  test(`should select ${title}`, () => {
    const counted: string[] = []
    const state = {
      catalog: { usableReplicas: () => replicas, isEvacuated: () => false, routes: undefined },
      notices: new ReplicaNotices(),
      links: new ServiceLinks(),
      replicaLimits: new ReplicaLimits('self'),
      coldReplicas: new ColdReplicas('self'),
      serverPace: new SharedServerPace('self', { heartbeatInterval: 250 }),
      fronts: { knownNames: ['self'], size: () => 1, placingSize: () => 1 },
      loadingReplicas: new LoadingReplicas(),
      loads: new FleetLoads(),
      health: new ReplicaHealth(),
      speeds: new EngineSpeeds(),
      metrics: { count: (name: string) => { counted.push(name) } },
      random: new SeededRandom(1),
      now: () => 0,
      suspensionAwareNow: () => 0,
      oldWeights: { avoidAfter: 500, excludeAfter: 6_000 }
    }
    state.loads.add('b', { requests: 1, prefillTokens: 0, memoryTokens: 0 })
    for (const id of paced) {
      state.serverPace.begin(replica(id), 'started', 0)
      while (state.serverPace.maySend(replica(id), ['self'], 0)) state.serverPace.onSent(replica(id), 0)
    }
    for (const id of limited) state.replicaLimits.onAnswer(replica(id), 1, 0, 0)
    for (const id of excluded) state.health.record(id, 'unreachable', 0)
    const full = { ...request, route: { ...request.route, objective: 1_000, priority: 1 }, receivedAt: 0 }
    const placement = new RequestPlacement(state as unknown as GatewayState, full)
    assert.is(placement.select(new Set(tried))?.replica.id, expected)
    assert.is(counted.includes('replica_pace_overridden_total'), expected === 'a')
  })
}

test.run()
