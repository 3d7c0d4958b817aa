import { once } from 'node:events'
import net from 'node:net'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  ColdReplicas, FleetLoads, ReplicaHealth, ServiceLinks, SharedServerPace, type HealthSignal, type Replica, type Selection
} from '@wasabihead/coordination'
import type { AnswerHead, ReplicaChannel } from '../channels/index.js'
import type { CallerRequest } from './callerRequest.js'
import type { GatewayState } from './gatewayState.js'
import { ReplicaAttempt } from './replicaAttempt.js'

const replica: Replica = {
  id: 'r', service: 's', address: '10.0.0.1:1', zone: 'z', slots: 8, isDraining: false, weightVersions: {}, startedAt: 1
}
const request = { head: {} } as unknown as CallerRequest
const selection = { replica, freshTokens: 0, fetchLoads: new Map() } as unknown as Selection
const AFTER_EXCLUSION = 600
const makePace = (): SharedServerPace => new SharedServerPace('self', { heartbeatInterval: 250 })
/** What the pace of replicas reads besides; it is in force for no service. */
const unpaced = { isPaceForAllServices: false, catalog: { routes: undefined } }

// After an exclusion a single request probes the replica. Where that request gives no health signal, because its caller
// disconnects or the replica asks for no requests for a while, the replica must not stay excluded forever.
const ends: { title: string, signal: HealthSignal | undefined, isExcluded: boolean }[] = [
  { title: 'allow another probe of an excluded replica after one without a health signal', signal: undefined, isExcluded: false },
  { title: 'use an excluded replica again after it has answered a probe', signal: 'answered', isExcluded: false },
  { title: 'keep a replica excluded that is unreachable in a probe', signal: 'unreachable', isExcluded: true }
]
for (const { title, signal, isExcluded } of ends) {
  test(`should ${title}`, () => {
    const health = new ReplicaHealth()
    health.record(replica.id, 'unreachable', 0)
    const now = (): number => AFTER_EXCLUSION
    const state = {
      ...unpaced,
      health,
      loads: new FleetLoads(),
      links: new ServiceLinks(),
      coldReplicas: new ColdReplicas('self'),
      serverPace: makePace(),
      now,
      suspensionAwareNow: now
    }
    const channel = { cancel: () => {} } as unknown as ReplicaChannel
    const attempt = new ReplicaAttempt(state as unknown as GatewayState, request, selection, channel, false)
    assert.is(health.isExcluded(replica.id, AFTER_EXCLUSION), true, 'only one probe at a time')
    attempt.close(signal)
    assert.is(health.isExcluded(replica.id, AFTER_EXCLUSION + 1), isExcluded)
  })
}

const heads: { title: string, requestId: string | undefined, isNotRun: boolean, exchanges: number, isExpected: boolean }[] = [
  { title: 'accept an answer to its request', requestId: 'own', isNotRun: false, exchanges: 3, isExpected: true },
  { title: 'accept a refusal of its request', requestId: 'own', isNotRun: true, exchanges: 3, isExpected: true },
  { title: 'skip a refusal of another request', requestId: 'other', isNotRun: true, exchanges: 3, isExpected: false },
  { title: 'skip a refusal without an id on a connection that carried another request', requestId: undefined, isNotRun: true, exchanges: 1, isExpected: false },
  { title: 'accept a refusal without an id on a new connection', requestId: undefined, isNotRun: true, exchanges: 0, isExpected: true },
  { title: 'skip an answer without an id', requestId: undefined, isNotRun: false, exchanges: 0, isExpected: false }
]
for (const { title, requestId, isNotRun, exchanges, isExpected } of heads) {
  test(`should ${title}`, () => {
    const now = (): number => 0
    const state = {
      health: new ReplicaHealth(),
      loads: new FleetLoads(),
      links: new ServiceLinks(),
      serverPace: makePace(),
      metrics: { count: () => {} },
      log: { decision: () => {} },
      replicaProtocol: { readAnswer: () => ({ requestId, isNotRun }) },
      now,
      suspensionAwareNow: now
    }
    const own = { head: { requestId: 'own' } } as unknown as CallerRequest
    const channel = { completedExchanges: exchanges } as unknown as ReplicaChannel
    const attempt = new ReplicaAttempt(state as unknown as GatewayState, own, selection, channel, false)
    assert.is(attempt.isExpected({ status: 503, headers: {} } as unknown as AnswerHead), isExpected)
  })
}

const pacedEnds: { title: string, signal: HealthSignal | undefined, isNotRun: boolean, window: number }[] = [
  { title: 'lower the pace of a replica that refuses a request', signal: undefined, isNotRun: true, window: 2 },
  { title: 'lower the pace of a replica that fails a request', signal: 'failed', isNotRun: false, window: 2 },
  { title: 'keep the pace after a request that its caller ended', signal: undefined, isNotRun: false, window: 4 }
]
for (const { title, signal, isNotRun, window } of pacedEnds) {
  test(`should ${title}`, () => {
    const now = (): number => 0
    const serverPace = makePace()
    serverPace.begin(replica, 'started', 0)
    const state = {
      health: new ReplicaHealth(),
      loads: new FleetLoads(),
      links: new ServiceLinks(),
      notices: {},
      replicaLimits: { onAnswer: () => undefined },
      serverPace,
      isPaceForAllServices: true,
      metrics: { count: () => {}, gauge: () => {} },
      log: { decision: () => {} },
      replicaProtocol: { readAnswer: () => ({ isNotRun, isSealed: true }) },
      now,
      suspensionAwareNow: now
    }
    const channel = { cancel: () => {} } as unknown as ReplicaChannel
    const attempt = new ReplicaAttempt(state as unknown as GatewayState, request, selection, channel, false)
    attempt.readHead({ status: 503, headers: {} } as unknown as AnswerHead)
    attempt.close(signal)
    assert.is(serverPace.windowOf(replica), window)
  })
}

/** Longer than the streams of a replica that is at work are silent. */
const PAUSE = 600
const LONG_SILENCE = 5_000
// Guards against second attempts, since this process ran late, beside replicas that were at work.
const pauses = [
  { title: 'not take a replica for dead that sent bytes while this process was paused', hasSent: true },
  { title: 'take a replica for dead that sent nothing while this process was paused', hasSent: false }
]
for (const { title, hasSent } of pauses) {
  test(`should ${title}`, async () => {
    const now = (): number => performance.now()
    const health = new ReplicaHealth()
    const state = {
      health,
      loads: new FleetLoads(),
      links: new ServiceLinks(),
      serverPace: makePace(),
      loadingReplicas: { has: () => false },
      now,
      suspensionAwareNow: now
    }
    const channel = { cancel: () => {} } as unknown as ReplicaChannel
    const server = net.createServer().listen(0, '127.0.0.1')
    await once(server, 'listening')
    const socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1')
    const [sender] = await once(server, 'connection') as [net.Socket]
    socket.on('data', () => { health.onBytes(replica.id, now()) })
    health.onStream(replica.id, 1, now())
    const attempt = new ReplicaAttempt(state as unknown as GatewayState, request, selection, channel, true)
    let silences = 0
    attempt.watchSilence(LONG_SILENCE, () => { silences += 1 })
    if (hasSent) sender.write('x')
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, PAUSE)
    for (let turn = 0; turn < 3; turn++) await nextTurn()
    attempt.close(undefined)
    socket.destroy()
    server.close()
    assert.is(silences > 0, !hasSent)
  })
}

test.run()
