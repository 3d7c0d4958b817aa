import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EngineState } from '../platform/index.js'
import type { DesiredState, OrdersEffect } from './messages.js'
import { FORMER_HOLDER_WAIT, MAXIMUM_CONCURRENT_LOADS, OrdersHolder } from './ordersHolder.js'

const HELD_UNTIL = 1_000_000

function desire (count: number, change: Partial<DesiredState> = {}): DesiredState[] {
  return Array.from({ length: count }, (_, index) => ({
    server: `engine-${index}`, model: 'policy', weightVersion: 'v2', adapters: [], role: 'serve', checksFencing: true, ...change
  }))
}

function stateOf (weightVersion: string, loading = false): EngineState {
  return { incarnation: 1, fencingNumber: 0, model: 'policy', weightVersion, adapters: [], role: 'serve', loading }
}

function createHolder (desired: readonly DesiredState[], epoch = 1): OrdersHolder {
  const holder = new OrdersHolder()
  holder.handle({ kind: 'configured', desired }, 0)
  holder.handle({ kind: 'role-acquired', epoch, heldUntil: HELD_UNTIL }, 0)
  return holder
}

function readAll (holder: OrdersHolder, servers: readonly DesiredState[], now: number): OrdersEffect[] {
  return servers.flatMap(({ server }) => holder.handle({ kind: 'state-read', server, state: stateOf('v1') }, now))
}

function ordersIn (effects: readonly OrdersEffect[]): string[] {
  return effects.filter(effect => effect.kind === 'order').map(effect => effect.server)
}

test('should order nothing without the role', () => {
  const holder = new OrdersHolder()
  holder.handle({ kind: 'configured', desired: desire(2) }, 0)
  assert.equal(holder.handle({ kind: 'tick' }, 10), [])
})

test('should load at most three replicas concurrently, and the next when one has settled', () => {
  const desired = desire(10)
  const holder = createHolder(desired)
  assert.is(ordersIn(readAll(holder, desired, 1)).length, MAXIMUM_CONCURRENT_LOADS)
  const next = holder.handle({ kind: 'state-read', server: 'engine-0', state: stateOf('v2') }, 500)
  assert.is(ordersIn(next).length, 1)
})

test('should load nothing before every server was read in the current term', () => {
  const desired = desire(4)
  const holder = createHolder(desired)
  assert.equal(ordersIn(readAll(holder, desired.slice(0, 3), 1)), [])
  const effects = holder.handle({ kind: 'state-unreadable', server: 'engine-3' }, 2)
  assert.is(ordersIn(effects).length, 2, 'half of the four replicas go on serving')
})

test('should send no order to a server that ignores fencing until a former holder can no longer send one', () => {
  const desired = desire(2, { checksFencing: false })
  const holder = createHolder(desired)
  assert.equal(ordersIn(readAll(holder, desired, 1)), [])
  assert.is(ordersIn(holder.handle({ kind: 'tick' }, FORMER_HOLDER_WAIT)).length, 1)
})

test('should order nothing after its lease has expired, even if it was paused at that time', () => {
  const desired = desire(2)
  const holder = createHolder(desired)
  readAll(holder, desired, 1)
  assert.equal(holder.handle({ kind: 'tick' }, HELD_UNTIL), [])
  holder.handle({ kind: 'role-renewed', heldUntil: 2 * HELD_UNTIL }, HELD_UNTIL + 1)
  assert.is(holder.epoch, undefined)
})

test('should not reuse a fencing number when it reacquires its own epoch', () => {
  const desired = desire(2)
  const holder = createHolder(desired)
  const first = readAll(holder, desired, 1)
  holder.handle({ kind: 'tick' }, HELD_UNTIL)
  holder.handle({ kind: 'role-acquired', epoch: 1, heldUntil: 2 * HELD_UNTIL }, HELD_UNTIL)
  const second = readAll(holder, desired, HELD_UNTIL + 1)
  const numbers = [...first, ...second].flatMap(effect => effect.kind === 'order' ? [effect.order.fencingNumber] : [])
  assert.is(numbers.length, 2)
  assert.is(new Set(numbers).size, 2)
})

test('should use fencing numbers that rise within a term and across terms', () => {
  const numbers = [1, 2].flatMap(epoch => {
    const desired = desire(8)
    return readAll(createHolder(desired, epoch), desired, 1).flatMap(effect =>
      effect.kind === 'order' ? [effect.order.fencingNumber] : [])
  })
  assert.equal(numbers, [...numbers].sort((left, right) => left - right))
  assert.is(new Set(numbers).size, numbers.length)
})

test('should read the state back after an order whose answer was lost', () => {
  const desired = desire(2)
  const holder = createHolder(desired)
  const [server] = ordersIn(readAll(holder, desired, 1)) as [string]
  const effects = holder.handle({ kind: 'order-ambiguous', server }, 100)
  const reads = [...effects, ...holder.handle({ kind: 'tick' }, 600)]
  assert.ok(reads.some(effect => effect.kind === 'read-state' && effect.server === server))
})

test.run()
