import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ConnectionHealth } from './index.js'

for (const isAnswered of [true, false]) {
  test(`should drop the pool, probe once and give every waiter the verdict ${String(isAnswered)}`, () => {
    const health = new ConnectionHealth()
    assert.equal(health.handle({ kind: 'silent', address: 'a', waiter: 1 }).map(effect => effect.kind), ['drop-connections', 'probe'])
    assert.equal(health.handle({ kind: 'silent', address: 'a', waiter: 2 }), [])
    assert.equal(health.handle({ kind: 'probe-ended', address: 'a', isAnswered }), [1, 2].map(waiter => ({
      kind: 'verdict', waiter, isAnswered
    })))
    assert.is(health.handle({ kind: 'silent', address: 'a', waiter: 3 }).length, 2)
  })
}

test.run()
