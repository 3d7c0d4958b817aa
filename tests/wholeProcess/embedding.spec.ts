import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runProgram } from '@wasabihead/experiments'

test('should run the embedding example: each invoice once, and one setting everywhere', async () => {
  const { code, output } = await runProgram('examples/embedding/dist/main.js', [])
  assert.is(output, [
    'replies granted, done, not-owner, done, granted',
    'sent invoice-1, invoice-2',
    'settings colour: green, colour: green, colour: green',
    ''
  ].join('\n'))
  assert.is(code, 0)
})

test.run()
