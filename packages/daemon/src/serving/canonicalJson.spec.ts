import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { canonicalJson } from './canonicalJson.js'

for (const [title, one, other, isSame] of [
  ['fields in another order', '{"a":1,"b":{"c":2,"d":3}}', '{"b":{"d":3,"c":2},"a":1}', true],
  ['fields in another order inside an array', '[{"a":1,"b":2}]', '[{"b":2,"a":1}]', true],
  ['elements in another order', '[1,2]', '[2,1]', false],
  ['another value', '{"a":1}', '{"a":2}', false],
  ['a number for a text', '{"a":1}', '{"a":"1"}', false],
  ['a field that is null for an absent one', '{"a":null}', '{}', false],
  ['a field named as the prototype', '{"__proto__":{"a":1}}', '{}', false],
  ['an array for an object', '{"0":1}', '[1]', false]
] as Array<[string, string, string, boolean]>) {
  test(`should treat ${title} as ${isSame ? 'equal' : 'different'}`, () => {
    assert.is(canonicalJson(one) === canonicalJson(other), isSame)
  })
}

test('should preserve every value', () => {
  fc.assert(fc.property(fc.json(), text => { assert.equal(JSON.parse(canonicalJson(text)), JSON.parse(text)) }), { seed: 1 })
})

test.run()
