import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { OrdersHolder, type OrdersEffect, type OrdersMessage } from '@wasabihead/coordination'
import { checkOrders, OrdersProof, type OrdersEvent } from './orders.js'

const RUNS = 15

const brokenHistories: Array<{ title: string, history: OrdersEvent[] }> = [
  {
    title: 'an order with an old number applied',
    history: [
      { kind: 'took', at: 1, server: 'engine-0', checksFencing: true, fencingNumber: 9 },
      { kind: 'took', at: 2, server: 'engine-0', checksFencing: true, fencingNumber: 8 }
    ]
  },
  {
    title: 'four loads at a time',
    history: [0, 1, 2, 3].map(index => ({ kind: 'load-began', at: index, server: `engine-${index}`, epoch: 1 }))
  },
  { title: 'a wrong final state', history: [{ kind: 'final', at: 1, server: 'engine-0', runs: 'v1', wanted: 'v2' }] }
]
for (const { title, history } of brokenHistories) {
  test(`should find ${title} in a broken history`, () => {
    assert.is(checkOrders(history).length, 1)
  })
}

/** Assigns fencing numbers that decrease from one term to the next. */
class DecreasingNumbersHolder extends OrdersHolder {
  override handle (message: OrdersMessage, now: number): OrdersEffect[] {
    return super.handle(message, now).map(effect => effect.kind === 'order'
      ? { ...effect, order: { ...effect.order, fencingNumber: 1_000 - (this.epoch ?? 0) } }
      : effect)
  }
}

/** Reads the state of each server only once, and relies on the answers to its orders from then on. */
class SingleReadHolder extends OrdersHolder {
  private readonly _read = new Set<string>()

  override handle (message: OrdersMessage, now: number): OrdersEffect[] {
    return super.handle(message, now).filter(effect => {
      if (effect.kind === 'order') return true
      const isFirst = !this._read.has(effect.server)
      this._read.add(effect.server)
      return isFirst
    })
  }
}

const brokenHolders = [
  { title: 'numbers that decrease across terms', makeHolder: () => new DecreasingNumbersHolder() },
  { title: 'a single read of each server', makeHolder: () => new SingleReadHolder() }
]
for (const { title, makeHolder } of brokenHolders) {
  test(`should fail for a holder with ${title}`, () => {
    const proof = new OrdersProof(makeHolder)
    const runs = Array.from({ length: RUNS }, (_, index) => proof.run(index + 1))
    assert.ok(runs.some(run => run.violations.length > 0))
  })
}

test('should hold over seeded runs that gave orders, froze holders and restarted servers', () => {
  const runs = Array.from({ length: RUNS }, (_, index) => new OrdersProof().run(index + 1))
  assert.equal(runs.flatMap(run => run.violations), [])
  for (const count of ['orders', 'freezes', 'restarts', 'lostAnswers']) {
    assert.ok(runs.some(run => (run.counts[count] ?? 0) > 0), count)
  }
})

test.run()
