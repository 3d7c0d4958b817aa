/** Tests what a request does that waits in the queue of its service. */
import { setImmediate as nextTurn } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EngineSpeeds, type Selection } from '@wasabihead/coordination'
import { GatewayMetrics } from '../telemetry/index.js'
import type { CallerRequest } from './callerRequest.js'
import type { GatewayState } from './gatewayState.js'
import type { RequestPlacement } from './requestPlacement.js'
import { QueuedWaiting } from './requestWaiting.js'
import { WaitQueues } from './waitQueues.js'

const OBJECTIVE = 1_000

/** One instance whose replicas lack `crowding` for each request; records what becomes of the requests by name. */
class Instance {
  crowding = 1
  queuedTokens = 0
  now = 0
  readonly ends: string[] = []
  readonly queues = new WaitQueues(new GatewayMetrics(), () => this.now)
  private readonly _state = {
    speeds: new EngineSpeeds(),
    catalog: { routes: { service: () => ({ engine: {} }), shortestObjective: () => OBJECTIVE } },
    metrics: new GatewayMetrics(),
    log: { decision: () => {} },
    now: () => this.now
  } as unknown as GatewayState

  /** @param salt null for a request without a prompt */
  receive (name: string, priority: number, salt: string | null = 'salt'): QueuedWaiting {
    const request = {
      head: { requestId: name, prompt: { inputTokens: 900, maximumOutputTokens: 100 } },
      route: { name: 'r', kind: 'streaming', objective: OBJECTIVE, priority },
      receivedAt: this.now,
      fingerprint: name
    } as unknown as CallerRequest
    const decide = (): void => {
      const { crowding, queuedTokens } = this
      const selection = { crowding, queuedTokens, freshTokens: 0, salt: salt ?? undefined } as unknown as Selection
      if (waiting.admit(selection) === 'send') this.ends.push(`${name} sent`)
    }
    const waiting = new QueuedWaiting(this._state, this.queues, request, { service: 's' } as unknown as RequestPlacement, {
      onTurn: decide,
      onRefused: () => { this.ends.push(`${name} refused ${waiting.retryAfter}`) }
    })
    decide()
    return waiting
  }
}

// Guards against prompts that fit into an engine's memory but wait there for longer than callers may.
test('should let a request wait while the best replica has a long queue of prompts', async () => {
  const instance = new Instance()
  instance.crowding = 0
  instance.queuedTokens = 100_000
  instance.receive('chat', 0)
  await nextTurn()
  assert.equal(instance.ends, [])
  instance.queuedTokens = 0
  instance.queues.onRoomFreed('s')
  await nextTurn()
  assert.equal(instance.ends, ['chat sent'])
})

test('should send the most urgent request first when room becomes free, without a timer', async () => {
  const instance = new Instance()
  instance.receive('batch', 2)
  instance.receive('chat', 0)
  await nextTurn()
  assert.equal(instance.ends, [])
  instance.crowding = 0
  instance.queues.onRoomFreed('s')
  await nextTurn()
  assert.equal(instance.ends, ['chat sent', 'batch sent'])
})

test('should refuse a request with a retry delay when nothing is known of the room', async () => {
  const instance = new Instance()
  instance.receive('batch', 2)
  instance.now = OBJECTIVE * 0.12
  instance.queues.onPeerLoads()
  await nextTurn()
  assert.equal(instance.ends, [`batch refused ${OBJECTIVE / 4 + 5}`])
})

// A caller that has gone must not hold the turn of those after it.
test('should not try a request that has ended', async () => {
  const instance = new Instance()
  const gone = instance.receive('gone', 0)
  instance.receive('next', 1)
  gone.close()
  instance.crowding = 0
  instance.queues.onRoomFreed('s')
  await nextTurn()
  assert.equal(instance.ends, ['next sent'])
})

test('should send a request without a prompt to an engine while prompts wait', () => {
  const instance = new Instance()
  const waiting = instance.receive('batch', 2)
  instance.receive('models', 2, null)
  assert.equal(instance.ends, ['models sent'])
  waiting.close()
})

test.run()
