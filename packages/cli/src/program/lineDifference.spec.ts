import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { differenceOf, formatTable } from './index.js'

const cases: Array<[string, string, string, string]> = [
  ['nothing for equal texts', 'a\nb', 'a\nb', ''],
  ['a changed line with its surroundings', 'a\nb\nc', 'a\nx\nc', '@@ -1 +1 @@\n a\n-b\n+x\n c\n'],
  ['an added line', 'a', 'a\nb', '@@ -1 +1 @@\n a\n+b\n'],
  ['far changes apart', '0\n1\n2\n3\n4\n5\n6\n7\n8\n9', 'x\n1\n2\n3\n4\n5\n6\n7\n8\ny',
    '@@ -1 +1 @@\n-0\n+x\n 1\n 2\n 3\n@@ -7 +7 @@\n 6\n 7\n 8\n-9\n+y\n']
]
for (const [title, before, after, expected] of cases) {
  test(`should give ${title}`, () => { assert.is(differenceOf(before, after), expected) })
}

test('should account for every line that was removed or added', () => {
  const lines = fc.array(fc.constantFrom('a', 'b', 'c'), { maxLength: 12 })
  fc.assert(fc.property(lines, lines, (before, after) => {
    const shown = differenceOf(before.join('\n'), after.join('\n')).split('\n')
    const count = (mark: string) => shown.filter(line => line.startsWith(mark)).length
    return count('+') - count('-') === Math.max(1, after.length) - Math.max(1, before.length)
  }), { seed: 1 })
})

test('should show a large rewrite as a whole within bounded work', () => {
  const before = Array.from({ length: 20_000 }, (_, index) => `old ${index}`).join('\n')
  const after = Array.from({ length: 20_000 }, (_, index) => `new ${index}`).join('\n')
  assert.is(differenceOf(before, after).split('\n').length, 40_002)
})

test('should align the columns of a table and replace control characters', () => {
  assert.is(formatTable(['name', 'count'], [{ name: 'a\u001b[2J', count: 1 }, { name: 'longer-name', count: undefined }]),
    'NAME         COUNT\na?[2J        1\nlonger-name  -\n')
})

test.run()
