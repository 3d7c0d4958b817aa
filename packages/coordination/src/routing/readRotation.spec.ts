import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ReadRotation } from './readRotation.js'

const cases = [
  { title: 'all names where they fit into one batch', names: ['a', 'b'], turns: [['a', 'b'], ['a', 'b']] },
  { title: 'every name in turn', names: ['a', 'b', 'c', 'd'], turns: [['a', 'b', 'c'], ['d', 'a', 'b'], ['c', 'd', 'a']] },
  { title: 'nothing where there are no names', names: [], turns: [[], []] }
]
for (const { title, names, turns } of cases) {
  test(`should take ${title}`, () => {
    const rotation = new ReadRotation(3)
    rotation.configure(names)
    assert.equal(turns.map(() => rotation.takeBatch()), turns)
  })
}

test('should continue with the new names after a change', () => {
  const rotation = new ReadRotation(2)
  rotation.configure(['a', 'b', 'c'])
  rotation.takeBatch()
  rotation.configure(['d'])
  assert.equal(rotation.takeBatch(), ['d'])
})

test.run()
